package main

import (
	"os"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Router processes under a load of requests and purges, a tenth of their datagrams lost, some duplicated, all
// delayed: most are killed at one moment and one is stopped; then all are killed, and nothing is left to recover.
// Every request at a running router gets one answer, no non-idempotent request runs twice, no copy from before a
// purge is served, no key has two owners, and all come back.
func TestFleetThroughDeaths(t *testing.T) {
	for _, f := range []testserver.Fleet{
		{Routers: 6, Kill: 4, Stall: 1},
		{Routers: 5, Kill: 5},
	} {
		f.Loss, f.Delay, f.Seconds, f.Objects, f.Every, f.Seed = 0.1, 30*time.Millisecond, 15, 40, 25*time.Millisecond, 3
		n, lines, err := f.Play(t.TempDir(), []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"})
		if err != nil {
			t.Fatal(err)
		}
		if n.Lost+n.Twice+n.Stale+n.TwoKeepers+n.NeverFull > 0 || n.TooLong > 0 {
			t.Errorf("%d killed of %d: %+v\n%q", f.Kill, f.Routers, n, lines)
		}
		if n.Orders == 0 || n.Checked < n.Visits/20 || n.Deferred > n.Visits/4 || n.Full.TotalCount() != int64(f.Kill) {
			t.Errorf("%d non-idempotent requests, %d checked against purges, %d of %d rejected, %d restarted", n.Orders,
				n.Checked, n.Deferred, n.Visits, n.Full.TotalCount())
		}
	}
}
