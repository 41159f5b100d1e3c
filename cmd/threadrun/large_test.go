package main

import (
	"os"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// A router that is told of 1,024 routers and 1,024 caches, whole and each again as a change, keeps to 32 MB and 256 descriptors,
// by itself and with the routers as members of a tier.
func TestThousands(t *testing.T) {
	for _, tier := range []bool{false, true} {
		s, err := testserver.Large(t.TempDir(), []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}, 1024, 32, 256, tier)
		if err != nil {
			t.Fatal(err)
		}
		most := 32.0
		if raceDetector {
			most *= 8 // the detector's own
		}
		if s.ResidentMB > most || s.Descriptors > 256 || s.Listed < 1026 {
			t.Errorf("tier %v: %+v", tier, s)
		}
		if n := strings.Count(s.Log, "level=error") + strings.Count(s.Log, "panic"); n > 0 {
			t.Errorf("tier %v: %d errors in the log\n%s", tier, n, s.Log)
		}
	}
}
