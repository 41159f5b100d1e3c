package main

import (
	"os"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// A router with 1,024 routers and 1,024 caches, announced in a complete list and again as single changes, keeps to
// 32 MB and 256 descriptors, by itself and with the routers as members of its cluster.
func TestThousands(t *testing.T) {
	for _, clustered := range []bool{false, true} {
		program, environment := []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}
		s, err := testserver.MeasureLarge(t.TempDir(), program, environment, 1024, 32, 256, clustered)
		if err != nil {
			t.Fatal(err)
		}
		most := 32.0
		if raceDetector {
			most *= 8 // the race detector needs memory itself
		}
		if s.ResidentMB > most || s.Descriptors > 256 || s.EndpointCount < 1026 {
			t.Errorf("clustered %v: %+v", clustered, s)
		}
		if n := strings.Count(s.Log, "level=error") + strings.Count(s.Log, "panic"); n > 0 {
			t.Errorf("clustered %v: %d errors in the log\n%s", clustered, n, s.Log)
		}
	}
}
