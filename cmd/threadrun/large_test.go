package main

import (
	"os"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// A router with 1,024 peers and 1,024 caches, which are announced in a complete list and again as single changes, must
// not use more than 32 MB and 256 descriptors, without a cluster and with the peers as members of its cluster.
func TestThousands(t *testing.T) {
	for _, clustered := range []bool{false, true} {
		program, environment := []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}
		footprint, err := testserver.MeasureFootprint(t.TempDir(), program, environment, 1024, 32, 256, clustered)
		if err != nil {
			t.Fatal(err)
		}
		maxMB := 32.0
		if raceEnabled {
			maxMB *= 8 // the race detector uses additional memory
		}
		// 1026 endpoints: 1,024 caches, the parent and the origin
		if footprint.ResidentMB > maxMB || footprint.Descriptors > 256 || footprint.EndpointCount < 1026 {
			t.Errorf("clustered %v: %+v", clustered, footprint)
		}
		if n := strings.Count(footprint.Log, "level=error") + strings.Count(footprint.Log, "panic"); n > 0 {
			t.Errorf("clustered %v: %d errors in the log\n%s", clustered, n, footprint.Log)
		}
	}
}
