package cluster

import (
	"testing"

	"threadrun/cluster/fleetsize"
	"threadrun/routing"
	"threadrun/simulation/caches"
)

// With the module in each router: seven in ten are killed at one moment and come back, one in ten caches starts anew with nothing kept. No answer
// comes twice or from before a purge that was told, no cold cache is asked for more than it bears, parents and origin get no more than
// half as much again as before, and service is full again.
func TestServiceThroughAMassRestart(t *testing.T) {
	for _, recall := range []bool{false, true} {
		c, l := visited(6, 30, 0.2, recall)
		s := l.Serve(6)
		if recall {
			c.Parts.Query, c.Parts.Location = true, true
			c.Parts.ConfiguredSize = fleetsize.Size{Zone: 30, Fleet: 30}
		}
		c.Run(40 * second)
		l.Trouble()
		c.KillShare(0.7, c.Now, 3*second)
		s.Restart(0.1)
		c.Run(c.Now + 40*second)
		s.Close()
		if share := float64(l.Recalled) / 21 / 400; recall && share < 0.25 { // what each router alone keeps for others is asked of it
			t.Errorf("%.3f of the rows were recalled", share)
		}
		if s.Stale+s.Twice+s.Town.Fallen > 0 {
			t.Errorf("recall %v: %d stale, %d twice, %d fallen", recall, s.Stale, s.Twice, s.Town.Fallen)
		}
		if is, was := s.Served[1].InTimeShare(), s.Served[0].InTimeShare(); is < 0.9*was || was < 0.8 {
			t.Errorf("recall %v: %.3f in time, %.3f before", recall, is, was)
		}
		if s.Never > 0 || s.Full.TotalCount() == 0 {
			t.Errorf("recall %v: %d groups never came to full service, %d did", recall, s.Never, s.Full.TotalCount())
		}
		for i, most := range s.Peaks {
			if float64(most) > 1.5*s.Rates[i] || s.Rates[i] < 1 {
				t.Errorf("recall %v: place %d: a peak of %d a second after %.1f", recall, i, most, s.Rates[i])
			}
		}
	}
}

// The town counts what it is there for: a cold machine that is asked for far more than it bears, and copies that a purge leaves for a while only.
func TestTown(t *testing.T) {
	c, l := visited(2, 4, 0, false)
	s := l.Serve(2)
	c.Run(20 * second)
	m := s.Town.Machines[0]
	m.Restart()
	for range 400 {
		s.Town.Trip(1, errandTo(0), func(caches.Answer) {})
	}
	c.Run(c.Now + 100*ms)
	if !m.Fell || s.Town.Fallen != 1 || s.Town.Refused == 0 {
		t.Errorf("fell %v, %d, %d turned away", m.Fell, s.Town.Fallen, s.Town.Refused)
	}
	c.Run(c.Now + 20*second)
	got := caches.Answer{}
	ask := func() {
		s.Town.Trip(2, errandTo(1), func(a caches.Answer) { got = a })
		c.Run(c.Now + second)
	}
	ask()
	born := got.Born
	at := c.Now
	s.Town.Purge(2)
	c.Run(c.Now + 3*second)
	ask()
	if born == 0 || born > at || got.Born <= at {
		t.Errorf("a copy of %d, after a purge at %d one of %d", born, at, got.Born)
	}
}

func errandTo(id routing.EndpointID) routing.ForwardPlan {
	return routing.ForwardPlan{Cache: id, Source: 4, Rank: 3, Deadline: 1 << 60} // the first parent of a town of four caches
}
