package system

import (
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"threadrun/internal/clock"
	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
)

const (
	coincidenceWindow = clock.Second // largest distance of two faults, or of a fault and an effect, in a situation
	stopDelay         = 200 * ms     // from the first failure to the end of the run
)

// history records which situations a simulation has reached: which kinds of faults began within one second of one
// another, and which effects were observed, each by itself, with each fault that was active or recent, and with each
// two such faults. Effects are, among others, answers to clients, ends of attempts and log messages of routers.
type history struct {
	sim                  *Simulation
	stopAt               Micros            // when the run ends because of a failure; 0: there is no failure yet
	ids                  map[string]uint32 // by name
	names                []string          // of kinds of faults and of effects, by id from 1; see faultName
	situations           map[situation]struct{}
	triples              map[string]struct{} // see Result
	pairs                map[string]struct{} // see Result
	begunFaults          []begunFault
	drainPurgeSlowOrigin bool // see Result
}

// situation is an effect that was observed, with up to two faults (a and b) that were active or recent then. Its fields
// are ids of names in the history; 0: no fault.
type situation struct{ effect, a, b uint32 }

// begunFault is a fault that has begun and may have ended.
type begunFault struct {
	kind   string // as of faultName
	id     uint32 // of kind
	at     Micros // when it began
	endsAt Micros
}

// activeOrRecent reports whether a fault is active, or was until at most coincidenceWindow ago.
func (f *begunFault) activeOrRecent(now Micros) bool {
	return now <= max(f.endsAt, f.at)+coincidenceWindow
}

func newHistory(s *Simulation) *history {
	return &history{
		sim:        s,
		ids:        map[string]uint32{},
		names:      []string{""},
		situations: map[situation]struct{}{},
		triples:    map[string]struct{}{},
		pairs:      map[string]struct{}{},
	}
}

// stopSoon ends the simulation stopDelay after the first failure, since later failures may be mere consequences of
// it.
func (h *history) stopSoon() {
	if h.stopAt == 0 {
		h.stopAt = h.sim.world.Now() + stopDelay
	}
}

// id returns the id of a name, and assigns one to a new name.
func (h *history) id(name string) uint32 {
	id, ok := h.ids[name]
	if !ok {
		id = uint32(len(h.names))
		h.ids[name] = id
		h.names = append(h.names, name)
	}
	return id
}

// faultName returns the name of a fault's kind, followed by the kind of its last target unless the target is a
// cache, an object or a group.
func faultName(l faults.Line) string {
	name := l.Kind.String()
	if len(l.Targets) == 0 || l.Kind == faults.Purge || l.Kind == faults.HotObject {
		return name
	}
	target, _, _ := strings.Cut(l.Targets[len(l.Targets)-1], "-")
	if target == string(kindCache) {
		return name
	}
	return name + " " + target
}

// faultBegan records a fault, and which faults of other kinds began within coincidenceWindow before it.
func (h *history) faultBegan(l faults.Line) {
	now := h.sim.world.Now()
	f := begunFault{kind: faultName(l), at: now, endsAt: now + max(l.Span, 0)}
	f.id = h.id(f.kind)
	var near []string
	for _, o := range h.begunFaults {
		if now-o.at <= coincidenceWindow && o.kind != f.kind {
			near = append(near, o.kind)
		}
	}
	h.begunFaults = append(h.begunFaults, f)
	for i, a := range near {
		h.pairs[joinNames(a, f.kind)] = struct{}{}
		for _, b := range near[i+1:] {
			if a != b {
				h.triples[joinNames(a, b, f.kind)] = struct{}{}
			}
		}
	}
	kinds := append(near, f.kind)
	if anyHasPrefix(kinds, "drain") && anyHasPrefix(kinds, "purge") && anyHasPrefix(kinds, "slow origin") {
		h.drainPurgeSlowOrigin = true
	}
}

func anyHasPrefix(names []string, prefix string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, prefix) })
}

// joinNames joins the names of faults. The result does not depend on their order.
func joinNames(names ...string) string {
	slices.Sort(names)
	return strings.Join(names, "+")
}

// recordEffect records an effect: alone, with each fault that is active or recent, and with each two such faults of
// different kinds.
func (h *history) recordEffect(name string) {
	effect := h.id(name)
	now := h.sim.world.Now()
	h.situations[situation{effect: effect}] = struct{}{}
	for i := range h.begunFaults {
		a := &h.begunFaults[i]
		if !a.activeOrRecent(now) {
			continue
		}
		h.situations[situation{effect, a.id, 0}] = struct{}{}
		for k := range h.begunFaults[:i] {
			b := &h.begunFaults[k]
			if b.activeOrRecent(now) && a.id != b.id {
				h.situations[situation{effect, min(a.id, b.id), max(a.id, b.id)}] = struct{}{}
			}
		}
	}
}

// situationNames returns the names of all pairs of faults and of all situations, sorted.
func (h *history) situationNames() []string {
	var names []string
	for pair := range h.pairs {
		names = append(names, pair)
	}
	for s := range h.situations {
		name := h.names[s.effect]
		switch {
		case s.b > 0:
			name = joinNames(h.names[s.a], h.names[s.b]) + ": " + name
		case s.a > 0:
			name = h.names[s.a] + ": " + name
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// observe records an event that ends a request as an effect.
func (h *history) observe(e *invariants.Event) {
	switch e.Kind {
	case invariants.AnswerReceived:
		h.recordEffect("answered " + e.Outcome.String())
	case invariants.ClientLeft, invariants.ConnectionFault:
		h.recordEffect(e.Kind.String())
	}
}

// recordLogEntry records a log entry of a router as an effect, and passes it to the plan's Log. An error is a
// failure. Of the request log, only the ends of attempts are effects.
func (h *history) recordLogEntry(r *router, e *logrus.Entry) {
	ofRequest := strings.HasPrefix(e.Message, "request ")
	if h.sim.plan.Log != nil {
		h.sim.plan.Log.Entry(LogEntry{h.sim.world.Now(), r.index, e.Message, e.Data, ofRequest})
	}
	switch {
	case e.Message == "request attempt ended":
		h.recordEffect(attemptEffect(e.Data))
	case ofRequest:
	case e.Level <= logrus.ErrorLevel:
		message, _, _ := strings.Cut(e.Message, "\n")
		h.sim.addProblem("router %d: %s %v%v", r.index, message, orEmpty(e.Data["panic"]), orEmpty(e.Data["fault"]))
	default:
		h.recordEffect("log: " + withoutNumbers(e.Message))
	}
}

// attemptEffect returns the name of the effect for the end of an attempt, from the fields of its log entry. The
// names for retries differ from those for first attempts.
func attemptEffect(fields logrus.Fields) string {
	number, _ := fields["attempt"].(int)
	outcome, _ := fields["outcome"].(string)
	cacheStatus, _ := fields["cache_status"].(string)
	effect := outcome + "/" + cacheStatus
	if number > 0 {
		effect += " again"
	}
	return effect
}

// orEmpty returns a field of a log entry, or an empty string if the entry lacks the field.
func orEmpty(field any) any {
	if field == nil {
		return ""
	}
	return field
}
