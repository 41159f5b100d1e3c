package main

import (
	"os"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Router processes serve requests under purges; a tenth of their datagrams is lost, some are duplicated, all are
// delayed. Most routers are killed at one time and one is paused; in a second run all are killed, and nothing is left
// to recover. Every request at a running router gets one answer, no non-idempotent request runs twice, no copy from
// before a purge is served, no key has two owners, and all routers recover.
func TestFleetThroughDeaths(t *testing.T) {
	for _, f := range []testserver.FleetRun{
		{Routers: 6, Killed: 4, Stalled: 1},
		{Routers: 5, Killed: 5},
	} {
		f.Loss = 0.1
		f.Delay = 30 * time.Millisecond
		f.Seconds = 15
		f.Objects = 40
		f.RequestInterval = 25 * time.Millisecond
		f.Seed = 3
		n, lines, err := f.Run(t.TempDir(), []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"})
		if err != nil {
			t.Fatal(err)
		}
		if n.Unanswered+n.Duplicates+n.Stale+n.DoubleOwners+n.NeverRecovered > 0 || n.OversizedDatagrams > 0 {
			t.Errorf("%d killed of %d: %+v\n%q", f.Killed, f.Routers, n, lines)
		}
		if n.Writes == 0 || n.CheckedForStaleness < n.Requests/20 || n.Rejected > n.Requests/4 ||
			n.RecoveryTime.TotalCount() != int64(f.Killed) {
			t.Errorf("%d non-idempotent requests, %d checked against purges, %d of %d rejected, %d restarted", n.Writes,
				n.CheckedForStaleness, n.Rejected, n.Requests, n.RecoveryTime.TotalCount())
		}
	}
}
