package faults

import (
	"slices"

	"threadrun/internal/clock"
)

// Shrink cuts a script down to a short one that still fails: by lines left out, names made the same, times moved together, and spans and sizes
// halved. Fails tells whether a script fails in the same way as the first; it is asked so many times at most.
func Shrink(s Script, maxRuns int, fails func(Script) bool) Script {
	k := &shrinker{best: slices.Clone(s), runsLeft: maxRuns, fails: fails}
	for again := true; again && k.runsLeft > 0; {
		again = false
		for _, step := range [...]func() bool{k.removeLines, k.halveSizes, k.moveTogether, k.moveToStart, k.roundTimes} {
			again = step() || again
		}
	}
	return k.best
}

type shrinker struct {
	best     Script
	runsLeft int
	fails    func(Script) bool
}

// try takes a script that fails still.
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

// removeLines leaves lines out, many at a time at first.
func (k *shrinker) removeLines() (some bool) {
	for n := max(len(k.best)/2, 1); n > 0; n /= 2 {
		for i := 0; i < len(k.best); {
			s := slices.Delete(slices.Clone(k.best), i, min(i+n, len(k.best)))
			if len(s) < len(k.best) && k.try(s) {
				some = true
			} else {
				i += n
			}
		}
	}
	return some
}

// changeEach tries a change of each line, as long as that gets anywhere.
func (k *shrinker) changeEach(change func(l *Line, i int) bool) (some bool) {
	for i := range k.best {
		for range 8 {
			s := slices.Clone(k.best)
			if !change(&s[i], i) || !k.try(s) {
				break
			}
			some = true
		}
	}
	return some
}

// halveSizes halves spans and sizes.
func (k *shrinker) halveSizes() bool {
	spans := k.changeEach(func(l *Line, _ int) bool {
		was := l.Span
		l.Span = l.Span / 2 / clock.Millisecond * clock.Millisecond
		return was != l.Span && l.Span != 0
	})
	sizes := k.changeEach(func(l *Line, _ int) bool {
		if l.Magnitude < 2 {
			return false
		}
		l.Magnitude = float64(int(l.Magnitude / 2))
		return true
	})
	return spans || sizes
}

// moveTogether moves each line half the way to the one before.
func (k *shrinker) moveTogether() bool {
	return k.changeEach(func(l *Line, i int) bool {
		if i == 0 {
			return false
		}
		gap := (l.At - k.best[i-1].At) / 2 / clock.Millisecond * clock.Millisecond
		l.At -= max(gap, min(l.At-k.best[i-1].At, clock.Millisecond))
		return l.At != k.best[i].At
	})
}

// moveToStart moves all of it towards the start.
func (k *shrinker) moveToStart() (some bool) {
	for len(k.best) > 0 {
		by := (k.best[0].At - quietStart) / 2 / clock.Millisecond * clock.Millisecond
		if by < 10*clock.Millisecond {
			break
		}
		s := slices.Clone(k.best)
		for i := range s {
			s[i].At -= by
		}
		if !k.try(s) {
			break
		}
		some = true
	}
	return some
}

// roundTimes has times and spans be whole tenths of a second.
func (k *shrinker) roundTimes() bool {
	const tenth = 100 * clock.Millisecond
	at := k.changeEach(func(l *Line, _ int) bool {
		was := l.At
		l.At = l.At / tenth * tenth
		return was != l.At
	})
	spans := k.changeEach(func(l *Line, _ int) bool {
		was := l.Span
		l.Span = l.Span / tenth * tenth
		return was != l.Span && l.Span != 0
	})
	return at || spans
}
