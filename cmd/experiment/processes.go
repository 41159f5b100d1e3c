package main

import (
	"fmt"
	"os"

	"threadrun/internal/testserver"
)

// withTempDir calls a function with a temporary directory, which it removes afterwards.
func withTempDir(experiment string, call func(dir string) error) error {
	dir, err := os.MkdirTemp("", "experiment-"+experiment)
	if err != nil {
		return fmt.Errorf("make a temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // leftovers are in the system's temporary directory
	return call(dir)
}

// startRouters starts the router processes of a zone. The caller must kill the returned ones, also after an error.
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
