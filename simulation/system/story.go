package system

import (
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"threadrun/internal/clock"
	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
)

// history notes what situations a history has reached: which faults began within one second of one another, and what came about, of visits and of
// the module, while which one or two of them were on.
type history struct {
	d                    *Simulation
	stopAt               Micros
	ids                  map[string]uint32 // short names of kinds of faults and of what comes about
	names                []string
	situations           map[situation]struct{}
	triples              map[string]struct{}
	pairs                map[string]struct{}
	begun                []begunFault
	drainPurgeSlowOrigin bool
}

// situation is what came about, 0 for nothing, while one fault or two were on.
type situation struct{ effect, a, b uint32 }

// begunFault is a fault that has begun.
type begunFault struct {
	kind   string
	id     uint32
	at     Micros
	endsAt Micros
}

const togetherWithin = clock.Second

func newStory(d *Simulation) *history {
	return &history{d: d, ids: map[string]uint32{}, names: []string{""}, situations: map[situation]struct{}{}, triples: map[string]struct{}{},
		pairs: map[string]struct{}{}}
}

// stopSoon has the play end soon: a rule is broken, and what follows from that is of no interest.
func (s *history) stopSoon() {
	if s.stopAt == 0 {
		s.stopAt = s.d.world.Now() + 200*ms
	}
}

func (s *history) id(name string) uint32 {
	w, ok := s.ids[name]
	if !ok {
		w = uint32(len(s.names))
		s.ids[name] = w
		s.names = append(s.names, name)
	}
	return w
}

// faultName names a fault with what it is upon, where that is no cache.
func faultName(l faults.Line) string {
	k := l.Kind.String()
	if len(l.Targets) > 0 && l.Kind != faults.Purge && l.Kind != faults.HotObject {
		if who, _, _ := strings.Cut(l.Targets[len(l.Targets)-1], "-"); who != "cache" {
			k += " " + who
		}
	}
	return k
}

// faultBegan notes a fault, and which others began within one second.
func (s *history) faultBegan(l faults.Line) {
	now := s.d.world.Now()
	m := begunFault{kind: faultName(l), at: now, endsAt: now + max(l.Span, 0)}
	m.id = s.id(m.kind)
	var near []string
	for _, o := range s.begun {
		if now-o.at <= togetherWithin && o.kind != m.kind {
			near = append(near, o.kind)
		}
	}
	s.begun = append(s.begun, m)
	for i, a := range near {
		s.pairs[joinNames(a, m.kind)] = struct{}{}
		for _, b := range near[i+1:] {
			if a != b {
				s.triples[joinNames(a, b, m.kind)] = struct{}{}
			}
		}
	}
	if anyHasPrefix(near, m.kind, "drain") && anyHasPrefix(near, m.kind, "purge") && anyHasPrefix(near, m.kind, "slow origin") {
		s.drainPurgeSlowOrigin = true
	}
}

func anyHasPrefix(near []string, last, what string) bool {
	for _, k := range append(near, last) {
		if strings.HasPrefix(k, what) {
			return true
		}
	}
	return false
}

// joinNames names kinds that met, in whatever order they began.
func joinNames(kinds ...string) string {
	slices.Sort(kinds)
	return strings.Join(kinds, "+")
}

// reached notes what came about, with each one and two of the faults that are on, or were until a second ago.
func (s *history) reached(name string) {
	what, now := s.id(name), s.d.world.Now()
	s.situations[situation{effect: what}] = struct{}{}
	for i := range s.begun {
		a := &s.begun[i]
		if now > max(a.endsAt, a.at)+togetherWithin {
			continue
		}
		s.situations[situation{what, a.id, 0}] = struct{}{}
		for k := range s.begun[:i] {
			if b := &s.begun[k]; now <= max(b.endsAt, b.at)+togetherWithin && a.id != b.id {
				s.situations[situation{what, min(a.id, b.id), max(a.id, b.id)}] = struct{}{}
			}
		}
	}
}

// situationNames names all that was seen, in order.
func (s *history) situationNames() []string {
	set := map[string]struct{}{}
	for p := range s.pairs {
		set[p] = struct{}{}
	}
	for x := range s.situations {
		name := s.names[x.effect]
		switch {
		case x.b > 0:
			name = joinNames(s.names[x.a], s.names[x.b]) + ": " + name
		case x.a > 0:
			name = s.names[x.a] + ": " + name
		}
		set[name] = struct{}{}
	}
	return sortedNames(set)
}

// observe notes the ends of visits.
func (s *history) observe(e *invariants.Event) {
	switch e.Kind {
	case invariants.ResponseReceived:
		s.reached("answered " + e.Outcome.String())
	case invariants.ClientLeft, invariants.ConnectionFault:
		s.reached(e.Kind.String())
	}
}

// logged notes what a router's log says of its mode and of trips' ends.
func (s *history) logged(r *router, e *logrus.Entry) {
	if s.d.plan.OnLog != nil && !strings.HasPrefix(e.Message, "request ") {
		s.d.plan.OnLog(s.d.world.Now(), r.index, e.Message, e.Data)
	}
	switch {
	case e.Message == "request attempt ended":
		trip, _ := e.Data["attempt"].(int)
		end, _ := e.Data["outcome"].(string)
		trace, _ := e.Data["cache_status"].(string)
		s.reached(end + "/" + trace + retrySuffix(trip))
	case strings.HasPrefix(e.Message, "request "):
	case e.Level <= logrus.ErrorLevel:
		first, _, _ := strings.Cut(e.Message, "\n")
		s.d.problem("router %d: %s %v%v", r.index, first, orEmpty(e.Data["panic"]), orEmpty(e.Data["fault"]))
	default:
		s.reached("log: " + withoutFigures(e.Message))
	}
}

func orEmpty(x any) any {
	if x == nil {
		return ""
	}
	return x
}

func retrySuffix(trip int) string {
	if trip > 0 {
		return " again"
	}
	return ""
}

func (s *history) result() *Result {
	d := s.d
	r := &Result{Violations: d.checker.Violations(), Problems: d.problems, Hash: d.world.Hash(), Steps: d.world.Steps, Stats: d.checker.Stats(), Triples: s.triples, Pairs: s.pairs,
		DrainPurgeSlowOrigin: s.drainPurgeSlowOrigin, Situations: s.situationNames()}
	for _, o := range d.routers {
		if o.host.Running() && !o.wasReady && !o.host.Paused() && !o.host.Partitioned() {
			r.NeverReady++
		}
	}
	return r
}
