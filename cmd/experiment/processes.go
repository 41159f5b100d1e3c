package main

import (
	"fmt"
	"os"

	"threadrun/internal/testserver"
)

// withTempDir creates a temporary directory, calls a function with it, and removes it.
func withTempDir(experiment string, call func(dir string) error) error {
	dir, err := os.MkdirTemp("", "experiment-"+experiment)
	if err != nil {
		return fmt.Errorf("make a temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // files that can't be removed stay in the system's temporary directory
	return call(dir)
}

// startRouters starts the router processes of a zone. operatorSections is added to each operator's file. The
// caller must kill the returned processes, also after an error.
func startRouters(
	zone *testserver.Zone, routers int, program, settings, operatorSections string,
) ([]*testserver.Process, error) {
	var processes []*testserver.Process
	for i := range routers {
		p, err := zone.StartRouter(i, []string{program}, nil, settings, zone.OperatorFile(i, operatorSections))
		if err != nil {
			return processes, fmt.Errorf("start router %d: %w", i, err)
		}
		processes = append(processes, p)
	}
	return processes, nil
}

func killAll(processes []*testserver.Process) {
	for _, p := range processes {
		p.Kill()
	}
}
