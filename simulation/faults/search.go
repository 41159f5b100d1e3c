package faults

import (
	"math/rand/v2"

	"threadrun/internal/hash"
)

const (
	freshShare = 0.05 // of a generation: newly generated scripts, not mutated ones
	maxKept    = 512  // scripts
	candidates = 3    // kept scripts that are drawn to mutate the best of them
)

// Search draws scripts in generations. Scripts that have reached a new situation are kept and mutated. A generation
// depends only on the generations before it, and so not on how many scripts run at a time.
type Search struct {
	topology   Topology
	seed       uint64
	enabled    bool
	generation uint64
	kept       []keptScript
	reached    map[string]int // scripts by situation
}

// keptScript is a script that has reached new situations.
type keptScript struct {
	script      Script
	discoveries int // situations that it was the first to reach
	generations int // since it was kept
}

// NewSearch returns a new search. If it is not enabled, each script depends only on its number.
func NewSearch(topology Topology, seed uint64, enabled bool) *Search {
	return &Search{topology: topology, seed: seed, enabled: enabled, reached: map[string]int{}}
}

// Script returns the script of a number in this generation.
func (s *Search) Script(number uint64) Script {
	g := NewGenerator(s.topology, hash.Combine(s.seed, number))
	if !s.enabled || len(s.kept) == 0 {
		return g.Script()
	}
	r := rand.New(rand.NewPCG(hash.Combine(s.seed, s.generation), number))
	if r.Float64() < freshShare {
		return g.Script()
	}
	script := s.pick(r)
	return g.Mutate(script, s.pick(r))
}

// pick draws a few kept scripts and returns the one with the best score.
func (s *Search) pick(r *rand.Rand) Script {
	var best *keptScript
	for range candidates {
		k := &s.kept[r.IntN(len(s.kept))]
		if best == nil || k.score() > best.score() {
			best = k
		}
	}
	return best.script
}

func (k *keptScript) score() float64 { return float64(k.discoveries) / float64(1+k.generations) }

// Record ends a generation. It takes the situations that the generation's scripts have reached, in the order of their
// numbers.
func (s *Search) Record(scripts []Script, reached [][]string) {
	s.generation++
	for i := range s.kept {
		s.kept[i].generations++
	}
	for i, script := range scripts {
		discoveries := s.count(reached[i])
		if discoveries > 0 && s.enabled {
			s.kept = append(s.kept, keptScript{script: script, discoveries: discoveries})
		}
	}
	if n := len(s.kept) - maxKept; n > 0 {
		s.kept = s.kept[n:]
	}
}

// count counts situations as reached and returns how many of them are new.
func (s *Search) count(situations []string) (discoveries int) {
	for _, situation := range situations {
		if s.reached[situation] == 0 {
			discoveries++
		}
		s.reached[situation]++
	}
	return discoveries
}

// Reached returns the number of scripts that have reached each situation.
func (s *Search) Reached() map[string]int { return s.reached }
