package system

import (
	"fmt"
	"strings"

	"threadrun/simulation/invariants"
)

// Result is what a simulation has reached and found.
type Result struct {
	Violations []invariants.Violation
	Problems   []string // failures that no rule names
	Hash       uint64   // of the history
	Steps      uint64   // of the simulated network
	Stats      invariants.Stats

	// Situations are, in order, the pairs of faults that began within one second of one another, and the effects seen
	// while one or two faults were on.
	Situations           []string
	Triples              map[string]struct{} // three kinds of faults that began within one second of one another
	Pairs                map[string]struct{} // two of them
	DrainPurgeSlowOrigin bool                // whether these three did
	NeverReady           int                 // routers that run at the end and have never become ready
}

// Failed tells whether the script has found something.
func (r *Result) Failed() bool { return len(r.Violations) > 0 || len(r.Problems) > 0 }

// Kind names the first failure by its rule and reason without figures, so that two findings can be compared.
func (r *Result) Kind() string {
	if len(r.Violations) > 0 {
		v := r.Violations[0]
		return fmt.Sprintf("rule %d: %s", v.Rule, withoutFigures(v.Reason))
	}
	if len(r.Problems) > 0 {
		return withoutFigures(r.Problems[0])
	}
	return ""
}

// detail words the first failure in full.
func (r *Result) detail() string {
	if len(r.Violations) > 0 {
		return r.Violations[0].String()
	}
	return r.Problems[0]
}

// withoutFigures puts # in place of each figure.
func withoutFigures(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r >= '0' && r <= '9' || r == '.' }), "#")
}

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
