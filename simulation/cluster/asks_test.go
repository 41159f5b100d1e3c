package cluster

import "testing"

// Queries while keepers die and come back and maps change: no complete result lacks a row that was published, no row comes twice, and
// with summaries there few sites are asked in vain.
func TestQueriesThroughDeaths(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		c, _ := visited(11, 24, loss, true)
		a := c.Queries(20*second, 50*ms)
		c.Run(90 * second)
		calm := *a
		c.KillShare(0.3, c.Now, 3*second)
		c.Run(c.Now + 30*second)
		if a.Missed+a.WrongComplete+a.Doubles > 0 || calm.Complete < calm.Queries/2 || a.Complete == calm.Complete {
			t.Errorf("loss %v: %+v, before the deaths %d of %d complete", loss, *a, calm.Complete, calm.Queries)
		}
		if asked, could := calm.Asked/float64(calm.Queries), calm.Could/float64(calm.Queries); loss == 0 && asked > 0.9 || asked < could/2 {
			t.Errorf("loss %v: %.3f of the sites asked, %.3f could match", loss, asked, could)
		}
	}
}
