package system

import (
	"fmt"
	"strings"

	"threadrun/simulation/invariants"
)

// Result is the result of one simulation.
type Result struct {
	Violations []invariants.Violation
	Problems   []string // failures other than violations of rules
	Hash       uint64   // of the sequence of events
	Steps      uint64   // of the simulated network
	Stats      invariants.Stats

	// Situations lists the pairs of kinds of faults that began within one second of one another, and the effects, alone
	// and with one or two faults that were active or had ended at most a second before. It is sorted.
	Situations           []string
	Triples              map[string]struct{} // three kinds of faults that began within one second
	Pairs                map[string]struct{} // two kinds of faults that began within one second
	DrainPurgeSlowOrigin bool                // a drain, a purge and a slow origin began within one second
	NeverReady           int                 // routers that run at the end and whose processes never became ready
}

// Failed reports whether the simulation has found a failure.
func (r *Result) Failed() bool { return len(r.Violations) > 0 || len(r.Problems) > 0 }

// Kind returns the rule and the reason of the first violation, or else the first problem. Numbers are replaced, so
// that two failures of the same kind compare equal. It is empty if there is no failure.
func (r *Result) Kind() string {
	if len(r.Violations) > 0 {
		v := r.Violations[0]
		return fmt.Sprintf("rule %d: %s", v.Rule, withoutNumbers(v.Reason))
	}
	if len(r.Problems) > 0 {
		return withoutNumbers(r.Problems[0])
	}
	return ""
}

// detail describes the first violation, or else the first problem. There must be one of either.
func (r *Result) detail() string {
	if len(r.Violations) > 0 {
		return r.Violations[0].String()
	}
	return r.Problems[0]
}

// withoutNumbers replaces each number with #.
func withoutNumbers(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r >= '0' && r <= '9' || r == '.' }), "#")
}

// result returns the result at the end of the run.
func (s *Simulation) result() *Result {
	r := &Result{
		Violations:           s.checker.Violations(),
		Problems:             s.problems,
		Hash:                 s.world.Hash(),
		Steps:                s.world.Steps,
		Stats:                s.checker.Stats(),
		Situations:           s.history.situationNames(),
		Triples:              s.history.triples,
		Pairs:                s.history.pairs,
		DrainPurgeSlowOrigin: s.history.drainPurgeSlowOrigin,
	}
	for _, o := range s.routers {
		if o.host.Running() && !o.wasReady && !o.host.Paused() && !o.host.Partitioned() {
			r.NeverReady++
		}
	}
	return r
}
