package faults

import (
	"math/rand/v2"

	"threadrun/internal/hash"
)

// Search draws scripts by generations. Those that have reached what none before had are kept, and changed further. One generation is drawn from
// what those before have reached, so that it is the same however many are played at a time.
type Search struct {
	topology   Topology
	seed       uint64
	enabled    bool
	generation uint64
	kept       []keptScript
	reached    map[string]int
}

// keptScript is a script that has reached something new, and how much.
type keptScript struct {
	script      Script
	discoveries int
	generations int
}

const (
	freshShare = 0.05 // of a generation: drawn anew
	maxKept    = 512
)

// NewSearch begins one; with on not set it only draws, script by script.
func NewSearch(c Topology, seed uint64, on bool) *Search {
	return &Search{topology: c, seed: seed, enabled: on, reached: map[string]int{}}
}

// Script draws the script of a number in this generation.
func (s *Search) Script(no uint64) Script {
	g := NewGenerator(s.topology, hash.Combine(s.seed, no))
	if !s.enabled || len(s.kept) == 0 {
		return g.Script()
	}
	r := rand.New(rand.NewPCG(hash.Combine(s.seed, s.generation), no))
	if r.Float64() < freshShare {
		return g.Script()
	}
	return g.Mutate(s.pick(r), s.pick(r))
}

// pick takes a kept one, the best of a few: those that reached much that is new, and were not changed often since.
func (s *Search) pick(r *rand.Rand) Script {
	var best *keptScript
	for range 3 {
		f := &s.kept[r.IntN(len(s.kept))]
		if best == nil || f.score() > best.score() {
			best = f
		}
	}
	return best.script
}

func (f *keptScript) score() float64 { return float64(f.discoveries) / float64(1+f.generations) }

// Record takes what the scripts of a generation have reached, in the order of their numbers, and ends it.
func (s *Search) Record(scripts []Script, reached [][]string) {
	s.generation++
	for i := range s.kept {
		s.kept[i].generations++
	}
	for i, script := range scripts {
		news := 0
		for _, what := range reached[i] {
			if s.reached[what] == 0 {
				news++
			}
			s.reached[what]++
		}
		if news > 0 && s.enabled {
			s.kept = append(s.kept, keptScript{script: script, discoveries: news})
		}
	}
	if n := len(s.kept) - maxKept; n > 0 {
		s.kept = s.kept[n:]
	}
}

// Reached tells how often each situation was reached.
func (s *Search) Reached() map[string]int { return s.reached }
