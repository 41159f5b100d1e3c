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
	d     *Simulation
	end   Micros
	words map[string]uint32 // short names of kinds of faults and of what comes about
	names []string
	seen  map[situation]struct{}
	met   map[string]struct{}
	pairs map[string]struct{}
	begun []moment
	all   bool
}

// situation is what came about, 0 for nothing, while one fault or two were on.
type situation struct{ what, a, b uint32 }

// moment is a fault that has begun.
type moment struct {
	kind string
	word uint32
	at   Micros
	over Micros
}

const together = clock.Second

func newStory(d *Simulation) *history {
	return &history{d: d, words: map[string]uint32{}, names: []string{""}, seen: map[situation]struct{}{}, met: map[string]struct{}{},
		pairs: map[string]struct{}{}}
}

// found has the play end soon: a rule is broken, and what follows from that is of no interest.
func (s *history) found() {
	if s.end == 0 {
		s.end = s.d.world.Now() + 200*ms
	}
}

func (s *history) word(name string) uint32 {
	w, ok := s.words[name]
	if !ok {
		w = uint32(len(s.names))
		s.words[name] = w
		s.names = append(s.names, name)
	}
	return w
}

// kindOf names a fault with what it is upon, where that is no cache.
func kindOf(l faults.Line) string {
	k := l.Kind.String()
	if len(l.Targets) > 0 && l.Kind != faults.Purge && l.Kind != faults.HotObject {
		if who, _, _ := strings.Cut(l.Targets[len(l.Targets)-1], "-"); who != "cache" {
			k += " " + who
		}
	}
	return k
}

// began notes a fault, and which others began within one second.
func (s *history) began(l faults.Line) {
	now := s.d.world.Now()
	m := moment{kind: kindOf(l), at: now, over: now + max(l.Span, 0)}
	m.word = s.word(m.kind)
	var near []string
	for _, o := range s.begun {
		if now-o.at <= together && o.kind != m.kind {
			near = append(near, o.kind)
		}
	}
	s.begun = append(s.begun, m)
	for i, a := range near {
		s.pairs[meeting(a, m.kind)] = struct{}{}
		for _, b := range near[i+1:] {
			if a != b {
				s.met[meeting(a, b, m.kind)] = struct{}{}
			}
		}
	}
	if has(near, m.kind, "drain") && has(near, m.kind, "purge") && has(near, m.kind, "slow origin") {
		s.all = true
	}
}

func has(near []string, last, what string) bool {
	for _, k := range append(near, last) {
		if strings.HasPrefix(k, what) {
			return true
		}
	}
	return false
}

// meeting names kinds that met, in whatever order they began.
func meeting(kinds ...string) string {
	slices.Sort(kinds)
	return strings.Join(kinds, "+")
}

// mark notes what came about, with each one and two of the faults that are on, or were until a second ago.
func (s *history) mark(name string) {
	what, now := s.word(name), s.d.world.Now()
	s.seen[situation{what: what}] = struct{}{}
	for i := range s.begun {
		a := &s.begun[i]
		if now > max(a.over, a.at)+together {
			continue
		}
		s.seen[situation{what, a.word, 0}] = struct{}{}
		for k := range s.begun[:i] {
			if b := &s.begun[k]; now <= max(b.over, b.at)+together && a.word != b.word {
				s.seen[situation{what, min(a.word, b.word), max(a.word, b.word)}] = struct{}{}
			}
		}
	}
}

// situations names all that was seen, in order.
func (s *history) situations() []string {
	set := map[string]struct{}{}
	for p := range s.pairs {
		set[p] = struct{}{}
	}
	for x := range s.seen {
		name := s.names[x.what]
		switch {
		case x.b > 0:
			name = meeting(s.names[x.a], s.names[x.b]) + ": " + name
		case x.a > 0:
			name = s.names[x.a] + ": " + name
		}
		set[name] = struct{}{}
	}
	return sorted(set)
}

// take notes the ends of visits.
func (s *history) take(e *invariants.Event) {
	switch e.Kind {
	case invariants.ResponseReceived:
		s.mark("answered " + e.Outcome.String())
	case invariants.ClientLeft, invariants.ConnectionFault:
		s.mark(e.Kind.String())
	}
}

// said notes what a router's log says of its mode and of trips' ends.
func (s *history) said(r *router, e *logrus.Entry) {
	if s.d.plan.OnLog != nil && !strings.HasPrefix(e.Message, "request ") {
		s.d.plan.OnLog(s.d.world.Now(), r.no, e.Message, e.Data)
	}
	switch {
	case e.Message == "request attempt ended":
		trip, _ := e.Data["attempt"].(int)
		end, _ := e.Data["outcome"].(string)
		trace, _ := e.Data["cache_status"].(string)
		s.mark(end + "/" + trace + more(trip))
	case strings.HasPrefix(e.Message, "request "):
	case e.Level <= logrus.ErrorLevel:
		first, _, _ := strings.Cut(e.Message, "\n")
		s.d.problem("router %d: %s %v%v", r.no, first, orNothing(e.Data["panic"]), orNothing(e.Data["fault"]))
	default:
		s.mark("log: " + plain(e.Message))
	}
}

func orNothing(x any) any {
	if x == nil {
		return ""
	}
	return x
}

func more(trip int) string {
	if trip > 0 {
		return " again"
	}
	return ""
}

func (s *history) result() *Result {
	d := s.d
	r := &Result{Violations: d.checker.Violations(), Problems: d.problems, Hash: d.world.Hash(), Steps: d.world.Steps, Stats: d.checker.Stats(), Triples: s.met, Pairs: s.pairs,
		DrainPurgeSlowOrigin: s.all, Situations: s.situations()}
	for _, o := range d.routers {
		if o.host.Running() && !o.readied && !o.host.Paused() && !o.host.Partitioned() {
			r.NeverReady++
		}
	}
	return r
}
