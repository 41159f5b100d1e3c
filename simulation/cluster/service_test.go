package cluster

import (
	"testing"

	"threadrun/cluster/fleetsize"
	"threadrun/routing"
	"threadrun/simulation/caches"
)

// 70% of the routers are killed at one time and restart, and 10% of the caches restart without copies. No request is
// answered twice, no answer is older than a known purge, no cold cache is overloaded, the peak rates at the parents
// and the origin stay below 1.5 times the rates before the kill, and all cohorts return to full service.
func TestServiceThroughMassRestart(t *testing.T) {
	for _, records := range []bool{false, true} {
		c, w := withWorkload(6, 30, 0.2, records)
		s := w.AddService(6)
		if records {
			c.Features.Query, c.Features.Location = true, true
			c.Features.ConfiguredSize = fleetsize.Size{Zone: 30, Fleet: 30}
		}
		c.Run(40 * second)
		w.NoteDisruption()
		c.ScheduleMassKill(0.7, c.Now, 3*second)
		s.Restart(0.1)
		c.Run(c.Now + 40*second)
		s.RecordFullService()
		if share := float64(w.Recovered) / 21 / 400; records && share < 0.25 {
			t.Errorf("only a share of %.3f of the records was recovered", share)
		}
		if s.StaleAnswers+s.DuplicateAnswers+s.Caches.Overloads > 0 {
			t.Errorf("records %v: %d stale, %d duplicates, %d overloads", records, s.StaleAnswers, s.DuplicateAnswers,
				s.Caches.Overloads)
		}
		after, before := s.Served[AfterDisruption].OnTimeShare(), s.Served[BeforeDisruption].OnTimeShare()
		if after < 0.9*before || before < 0.8 {
			t.Errorf("records %v: %.3f on time, %.3f before", records, after, before)
		}
		if s.NeverFullService > 0 || s.FullService.TotalCount() == 0 {
			t.Errorf("records %v: %d cohorts never returned to full service, %d did", records, s.NeverFullService,
				s.FullService.TotalCount())
		}
		for i, peak := range s.PeakRates {
			if float64(peak) > 1.5*s.BaselineRates[i] || s.BaselineRates[i] < 1 {
				t.Errorf("records %v: fill source %d: a peak of %d a second after %.1f", records, i, peak, s.BaselineRates[i])
			}
		}
	}
}

// The simulated caches count the overload of a cold machine, and return no copy older than a purge that has
// propagated.
func TestCaches(t *testing.T) {
	c, w := withWorkload(2, 4, 0, false)
	s := w.AddService(2)
	c.Run(20 * second)
	m := s.Caches.Machines[0]
	m.Restart()
	for range 400 {
		s.Caches.Attempt(1, planFor(0), func(caches.Answer) {})
	}
	c.Run(c.Now + 100*ms)
	if !m.Overloaded || s.Caches.Overloads != 1 || s.Caches.Rejections == 0 {
		t.Errorf("overloaded %v, %d overloads, %d rejections", m.Overloaded, s.Caches.Overloads, s.Caches.Rejections)
	}
	c.Run(c.Now + 20*second)
	answer := caches.Answer{}
	attempt := func() {
		s.Caches.Attempt(2, planFor(1), func(a caches.Answer) { answer = a })
		c.Run(c.Now + second)
	}
	attempt()
	createdAt := answer.CreatedAt
	purgedAt := c.Now
	s.Caches.Purge(2)
	c.Run(c.Now + 3*second)
	attempt()
	if createdAt == 0 || createdAt > purgedAt || answer.CreatedAt <= purgedAt {
		t.Errorf("a copy created at %d, after a purge at %d one created at %d", createdAt, purgedAt,
			answer.CreatedAt)
	}
}

// planFor returns the plan of an attempt at a cache that fills from the first parent.
func planFor(id routing.EndpointID) routing.ForwardPlan {
	// Machine 4 is the first parent, after four caches.
	return routing.ForwardPlan{Cache: id, Source: 4, Rank: 3, Deadline: 1 << 60}
}
