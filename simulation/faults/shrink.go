package faults

import (
	"slices"

	"threadrun/internal/clock"
)

const (
	minStartShift   = 10 * clock.Millisecond  // smaller shifts of all lines towards the start are not tried
	roundTo         = 100 * clock.Millisecond // unit of rounded times and spans
	maxLineAttempts = 8                       // of one kind of change to one line, in each pass
)

// Shrink returns a shorter and simpler script that still fails. It removes lines, halves spans and magnitudes, moves
// lines closer together and towards the start, and rounds times and spans, until nothing helps any more. fails
// reports whether a script still fails in the same way; it is called at most maxRuns times. s is not changed.
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

// shrinker holds the state of Shrink. Its steps report whether they have made the script smaller.
type shrinker struct {
	best     Script // the smallest script so far that fails
	runsLeft int
	fails    func(Script) bool
}

// try sorts and runs a script, and makes it the best one if it still fails. It reports whether the script fails, and
// false if no runs are left.
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

// removeLines removes blocks of adjacent lines: first blocks of half the script, then ever shorter blocks down to
// single lines.
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

// changeEach applies a change to each line, repeatedly while the script still fails and up to maxLineAttempts times.
// change returns false if it doesn't apply.
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

// moveTogether moves each line halfway towards the line before it, repeatedly.
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

// moveToStart moves all lines towards quietStart, by half of the first line's distance at a time.
func (k *shrinker) moveToStart() (smaller bool) {
	for len(k.best) > 0 {
		shift := truncate((k.best[0].At-quietStart)/2, clock.Millisecond)
		if shift < minStartShift {
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
