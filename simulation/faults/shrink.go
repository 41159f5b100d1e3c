package faults

import (
	"slices"

	"threadrun/internal/clock"
)

const (
	minShift        = 10 * clock.Millisecond // towards the start; smaller shifts are not tried
	roundTo         = 100 * clock.Millisecond
	maxLineAttempts = 8 // for one kind of change of one line
)

// Shrink makes a failing script shorter and simpler: it removes lines, halves spans and magnitudes, and moves times
// together and rounds them. fails reports whether a script still fails in the same way; it is called at most maxRuns
// times.
func Shrink(s Script, maxRuns int, fails func(Script) bool) Script {
	k := &shrinker{best: slices.Clone(s), runsLeft: maxRuns, fails: fails}
	steps := [...]func() bool{k.removeLines, k.halveSizes, k.moveTogether, k.moveToStart, k.roundTimes}
	for smaller := true; smaller && k.runsLeft > 0; {
		smaller = false
		for _, step := range steps {
			if step() {
				smaller = true
			}
		}
	}
	return k.best
}

// shrinker holds the smallest failing script so far. Its steps report whether they have made it smaller.
type shrinker struct {
	best     Script
	runsLeft int
	fails    func(Script) bool
}

// try makes a script the best one if it still fails.
func (k *shrinker) try(s Script) bool {
	if k.runsLeft <= 0 {
		return false
	}
	k.runsLeft--
	s.sort()
	if !k.fails(s) {
		return false
	}
	k.best = s
	return true
}

// removeLines removes lines: first half of them at a time, finally one at a time.
func (k *shrinker) removeLines() (smaller bool) {
	for n := max(len(k.best)/2, 1); n > 0; n /= 2 {
		for i := 0; i < len(k.best); {
			s := slices.Delete(slices.Clone(k.best), i, min(i+n, len(k.best)))
			if len(s) < len(k.best) && k.try(s) {
				smaller = true
			} else {
				i += n
			}
		}
	}
	return smaller
}

// changeEach applies a change to each line as often as the script still fails.
func (k *shrinker) changeEach(change func(l *Line, i int) bool) (smaller bool) {
	for i := range k.best {
		for range maxLineAttempts {
			s := slices.Clone(k.best)
			if !change(&s[i], i) || !k.try(s) {
				break
			}
			smaller = true
		}
	}
	return smaller
}

// halveSizes halves spans and magnitudes.
func (k *shrinker) halveSizes() bool {
	spans := k.changeEach(func(l *Line, _ int) bool {
		before := l.Span
		l.Span = truncate(l.Span/2, clock.Millisecond)
		return l.Span != before && l.Span != 0
	})
	magnitudes := k.changeEach(func(l *Line, _ int) bool {
		if l.Magnitude < 2 {
			return false
		}
		l.Magnitude = float64(int(l.Magnitude / 2))
		return true
	})
	return spans || magnitudes
}

// moveTogether moves each line halfway to the one before.
func (k *shrinker) moveTogether() bool {
	return k.changeEach(func(l *Line, i int) bool {
		if i == 0 {
			return false
		}
		gap := l.At - k.best[i-1].At
		l.At -= max(truncate(gap/2, clock.Millisecond), min(gap, clock.Millisecond))
		return l.At != k.best[i].At
	})
}

// moveToStart moves all lines towards the start.
func (k *shrinker) moveToStart() (smaller bool) {
	for len(k.best) > 0 {
		shift := truncate((k.best[0].At-quietStart)/2, clock.Millisecond)
		if shift < minShift {
			break
		}
		s := slices.Clone(k.best)
		for i := range s {
			s[i].At -= shift
		}
		if !k.try(s) {
			break
		}
		smaller = true
	}
	return smaller
}

// roundTimes rounds times and spans down to tenths of a second.
func (k *shrinker) roundTimes() bool {
	times := k.changeEach(func(l *Line, _ int) bool {
		before := l.At
		l.At = truncate(l.At, roundTo)
		return l.At != before
	})
	spans := k.changeEach(func(l *Line, _ int) bool {
		before := l.Span
		l.Span = truncate(l.Span, roundTo)
		return l.Span != before && l.Span != 0
	})
	return times || spans
}

// truncate rounds a span to a multiple of a unit, towards 0.
func truncate(span, unit Micros) Micros { return span / unit * unit }
