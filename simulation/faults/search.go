package faults

import (
	"math/rand/v2"

	"threadrun/internal/hash"
)

const (
	newScriptShare = 0.05 // share of scripts that are generated instead of mutated
	maxCorpus      = 512  // scripts; the oldest are dropped
	tournamentSize = 3    // scripts of the corpus that pick draws to return the best of them
)

// Search is a search for scripts that reach new situations, as in coverage-guided fuzzing. A situation is a name that
// the caller passes to Record, such as that of an effect observed during a fault. Search draws scripts in generations.
// Scripts that have reached a situation first become part of a corpus, whose scripts are mutated in the following
// generations. A generation depends only on the earlier generations, and not on how many scripts run in parallel.
type Search struct {
	topology   Topology
	seed       uint64
	enabled    bool
	generation uint64
	corpus     []corpusEntry
	reached    map[string]int // number of scripts that have reached each situation
}

// corpusEntry is a script that has reached new situations.
type corpusEntry struct {
	script        Script
	newSituations int // number of situations that the script was the first to reach
	generations   int // number of generations since the script was added
}

// NewSearch returns a new search. If it is not enabled, all scripts are generated, and each depends only on the seed
// and its number.
func NewSearch(topology Topology, seed uint64, enabled bool) *Search {
	return &Search{topology: topology, seed: seed, enabled: enabled, reached: map[string]int{}}
}

// Script returns the script with the given number, which must belong to the current generation.
func (s *Search) Script(number uint64) Script {
	g := NewGenerator(s.topology, hash.Combine(s.seed, number))
	if !s.enabled || len(s.corpus) == 0 {
		return g.Script()
	}
	r := rand.New(rand.NewPCG(hash.Combine(s.seed, s.generation), number))
	if r.Float64() < newScriptShare {
		return g.Script()
	}
	script := s.pick(r)
	return g.Mutate(script, s.pick(r))
}

// pick draws tournamentSize scripts of the corpus and returns the one with the highest score (tournament selection).
func (s *Search) pick(r *rand.Rand) Script {
	var best *corpusEntry
	for range tournamentSize {
		k := &s.corpus[r.IntN(len(s.corpus))]
		if best == nil || k.score() > best.score() {
			best = k
		}
	}
	return best.script
}

// score is higher for scripts that reached more new situations, and decreases with each generation.
func (k *corpusEntry) score() float64 { return float64(k.newSituations) / float64(1+k.generations) }

// Record ends a generation: it adds the scripts that reached new situations to the corpus. reached[i] holds the
// situations that scripts[i] has reached. The scripts must be in the order of their numbers, so that the result is
// reproducible.
func (s *Search) Record(scripts []Script, reached [][]string) {
	s.generation++
	for i := range s.corpus {
		s.corpus[i].generations++
	}
	for i, script := range scripts {
		newSituations := s.addReached(reached[i])
		if newSituations > 0 && s.enabled {
			s.corpus = append(s.corpus, corpusEntry{script: script, newSituations: newSituations})
		}
	}
	if n := len(s.corpus) - maxCorpus; n > 0 {
		s.corpus = s.corpus[n:]
	}
}

// addReached counts the situations that a script has reached and returns how many of them no script had reached
// before.
func (s *Search) addReached(situations []string) (newSituations int) {
	for _, situation := range situations {
		if s.reached[situation] == 0 {
			newSituations++
		}
		s.reached[situation]++
	}
	return newSituations
}

// Reached returns the number of scripts that have reached each situation.
func (s *Search) Reached() map[string]int { return s.reached }
