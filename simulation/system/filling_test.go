package system

import (
	"maps"
	"slices"
	"testing"

	"threadrun/internal/clock"
	"threadrun/simulation/invariants"
)

const (
	warmAt       = 10 * clock.Second // by then caches hold copies and routers are connected to the caches
	pollInterval = 1 * ms
	restartAfter = 2 * clock.Second
)

// interruptedFills observes the reads that waited for the fills of a cache when it crashed.
type interruptedFills struct {
	crashed invariants.MachineID
	reads   map[invariants.RequestID]*interruptedRead
}

// interruptedRead is what was observed of one read after the crash.
type interruptedRead struct {
	retried  bool // another machine received an attempt
	answered bool // the client received the object
}

// observe records attempts and answers. It is an observer of a Simulation.
func (f *interruptedFills) observe(e invariants.Event) {
	read := f.reads[e.Request]
	switch {
	case read == nil:
	case e.Kind == invariants.AttemptReceived && e.Machine != f.crashed:
		read.retried = true
	case e.Kind == invariants.AnswerReceived && e.Outcome == invariants.Succeeded:
		read.answered = true
	}
}

// crashWhenFilling crashes the first cache that is filling a copy for a read. It looks for one each pollInterval.
func (f *interruptedFills) crashWhenFilling(sim *Simulation) {
	for _, m := range sim.machines {
		reads := readsWaitingForFills(m)
		if m.kind != kindCache || !m.canRestart() || len(reads) == 0 {
			continue
		}
		f.crashed = m.id
		for _, id := range reads {
			f.reads[id] = &interruptedRead{}
		}
		m.crash(restartAfter)
		return
	}
	sim.after(pollInterval, func() { f.crashWhenFilling(sim) })
}

// readsWaitingForFills returns the reads whose attempts wait for a fill of a machine, in no particular order.
func readsWaitingForFills(m *machine) []invariants.RequestID {
	var reads []invariants.RequestID
	add := func(a *attempt) {
		if !a.ended && !a.isWrite {
			reads = append(reads, a.request)
		}
	}
	for _, f := range m.fills {
		add(f.first)
		for _, w := range f.waiting {
			add(w.attempt)
		}
	}
	return reads
}

// A cache crashes while it fills. Each read that waits for one of its fills is retried at another machine and
// answered in time. This guards against reads that fail when the connection to their first cache ends. A router in
// overload would reject such reads instead of retrying them; this does not occur with these seeds.
func TestCacheDiesWhileItFills(t *testing.T) {
	for seed := uint32(1); seed <= 4; seed++ {
		sim, err := New(seed, DefaultPlan(keyFile(t)), nil)
		if err != nil {
			t.Fatal(err)
		}
		fills := &interruptedFills{reads: map[invariants.RequestID]*interruptedRead{}}
		sim.observer = fills.observe
		sim.world.At(warmAt, func() { fills.crashWhenFilling(sim) })
		result, err := sim.Run()
		if err != nil {
			t.Fatal(err)
		}
		if result.Failed() {
			t.Errorf("seed %d: %s", seed, result.detail())
		}
		if len(fills.reads) == 0 {
			t.Errorf("seed %d: no cache crashed while it filled", seed)
		}
		for _, id := range slices.Sorted(maps.Keys(fills.reads)) {
			if read := fills.reads[id]; !read.retried || !read.answered {
				t.Errorf("seed %d, request %016x: %+v", seed, uint64(id), *read)
			}
		}
	}
}
