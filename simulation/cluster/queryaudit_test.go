package cluster

import "testing"

// Routers query records while owners are killed and restart and shard maps change: no complete result lacks a
// published record, no result contains a record twice, and summaries save queries to routers without a match.
func TestQueriesThroughMassKill(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		c, _ := withWorkload(11, 24, loss, true)
		audit := c.StartQueries(20*second, 50*ms)
		c.Run(90 * second)
		before := *audit
		c.ScheduleMassKill(0.3, c.Now, 3*second)
		c.Run(c.Now + 30*second)
		if audit.MissedRecords+audit.FalselyComplete+audit.Duplicates > 0 || before.Complete < before.Queries/2 ||
			audit.Complete == before.Complete {
			t.Errorf("loss %v: %+v, before the kill %d of %d complete", loss, *audit, before.Complete, before.Queries)
		}
		queried := before.QueriedShares / float64(before.Queries)
		matching := before.MatchingShares / float64(before.Queries)
		if loss == 0 && queried > 0.9 || queried < matching/2 {
			t.Errorf("loss %v: %.3f of the routers queried, %.3f had a match", loss, queried, matching)
		}
	}
}
