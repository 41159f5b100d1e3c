package faults

import (
	"math/rand/v2"

	"threadrun/internal/hash"
)

// Search draws scripts by generations. Those that have reached what none before had are kept, and changed further. One generation is drawn from
// what those before have reached, so that it is the same however many are played at a time.
type Search struct {
	cast  Cast
	seed  uint64
	on    bool
	round uint64
	kept  []found
	seen  map[string]int
}

// found is a script that has reached something new, and how much.
type found struct {
	script Script
	news   int
	used   int
}

const (
	afresh   = 0.05 // of a generation: drawn anew
	keptMost = 512
)

// NewSearch begins one; with on not set it only draws, script by script.
func NewSearch(c Cast, seed uint64, on bool) *Search {
	return &Search{cast: c, seed: seed, on: on, seen: map[string]int{}}
}

// Script draws the script of a number in this generation.
func (s *Search) Script(no uint64) Script {
	d := NewDraw(s.cast, hash.Combine(s.seed, no))
	if !s.on || len(s.kept) == 0 {
		return d.Script()
	}
	r := rand.New(rand.NewPCG(hash.Combine(s.seed, s.round), no))
	if r.Float64() < afresh {
		return d.Script()
	}
	return d.Change(s.pick(r), s.pick(r))
}

// pick takes a kept one, the best of a few: those that reached much that is new, and were not changed often since.
func (s *Search) pick(r *rand.Rand) Script {
	var best *found
	for range 3 {
		f := &s.kept[r.IntN(len(s.kept))]
		if best == nil || f.worth() > best.worth() {
			best = f
		}
	}
	return best.script
}

func (f *found) worth() float64 { return float64(f.news) / float64(1+f.used) }

// Learn takes what the scripts of a generation have reached, in the order of their numbers, and ends it.
func (s *Search) Learn(scripts []Script, reached [][]string) {
	s.round++
	for i := range s.kept {
		s.kept[i].used++
	}
	for i, script := range scripts {
		news := 0
		for _, what := range reached[i] {
			if s.seen[what] == 0 {
				news++
			}
			s.seen[what]++
		}
		if news > 0 && s.on {
			s.kept = append(s.kept, found{script: script, news: news})
		}
	}
	if n := len(s.kept) - keptMost; n > 0 {
		s.kept = s.kept[n:]
	}
}

// Seen tells how often each situation was reached.
func (s *Search) Seen() map[string]int { return s.seen }
