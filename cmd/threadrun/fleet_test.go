package main

import (
	"os"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// Router processes serve requests while objects are purged. A tenth of their datagrams is lost, some are duplicated,
// and all are delayed. In the first run most routers are killed at the same time and one is paused. In the second
// run all are killed, so that no router has records that the restarted ones could fetch. Every request to a running
// router must get one answer, no non-idempotent request may be executed twice, no copy from before a purge may be
// served, no key may have two owners, and all routers must recover.
func TestFleetThroughDeaths(t *testing.T) {
	for _, f := range []testserver.FleetRun{
		{Routers: 6, Killed: 4, Paused: 1},
		{Routers: 5, Killed: 5},
	} {
		f.Loss = 0.1
		f.Delay = 30 * time.Millisecond
		f.Seconds = 15
		f.Objects = 40
		f.RequestInterval = 25 * time.Millisecond
		f.Seed = 3
		stats, violations, err := f.Run(t.TempDir(), []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"})
		if err != nil {
			t.Fatal(err)
		}
		if stats.Unanswered+stats.Duplicates+stats.Stale+stats.DoubleOwners+stats.NeverRecovered > 0 ||
			stats.OversizedDatagrams > 0 {
			t.Errorf("%d of %d routers killed: %+v\n%q", f.Killed, f.Routers, stats, violations)
		}
		if stats.Writes == 0 || stats.CheckedForStaleness < stats.Requests/20 || stats.Rejected > stats.Requests/4 ||
			stats.RecoveryTime.TotalCount() != int64(f.Killed) {
			t.Errorf("%d non-idempotent requests, %d answers checked against purges, %d of %d rejected, %d routers recovered",
				stats.Writes, stats.CheckedForStaleness, stats.Rejected, stats.Requests, stats.RecoveryTime.TotalCount())
		}
	}
}
