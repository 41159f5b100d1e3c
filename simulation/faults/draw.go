package faults

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"threadrun/internal/clock"
)

// Cast is who there is.
type Cast struct {
	Routers, Caches, Parents int
	Objects, Groups          int
	Until                    Micros // no line begins later, and all are over some time before
}

// Names of the cast.
func (c Cast) router(n int) string { return fmt.Sprintf("router-%d", n) }
func (c Cast) cache(n int) string  { return fmt.Sprintf("cache-%d", n) }
func (c Cast) parent(n int) string { return fmt.Sprintf("parent-%d", n) }

// Origin and Board are names of one machine each.
const (
	Origin = "origin"
	Board  = "board"
)

// Draw draws scripts: kinds first by their family, then within it, each by weight; names by kind; spans and times by distributions of
// their own, with a liking for what meets.
type Draw struct {
	cast   Cast
	rand   *rand.Rand
	family distuv.Categorical
	within []distuv.Categorical
	spans  distuv.LogNormal
	sizes  distuv.LogNormal
	near   distuv.Exponential
	even   bool // machines are drawn without weights
}

// families are kinds that belong together, with their weights.
var families = []struct {
	weight float64
	kinds  []Verb
	by     []float64
}{
	{4, []Verb{Drain, Remove, Replace}, []float64{5, 1, 1}},
	{4, []Verb{Purge}, []float64{1}},
	{4, []Verb{Slow, Refuses, Fails, Halves, Hangs, Finishes}, []float64{6, 2, 2, 2, 1, 1}},
	{3, []Verb{Dies, Stops, Leaves, Lost, Full, Leaps}, []float64{4, 3, 3, 2, 1, 1}},
	{2, []Verb{Cut, Lossy, Narrow, Reset}, []float64{2, 2, 1, 3}},
	{1, []Verb{Late, Pieces, Down}, []float64{2, 2, 1}},
	{1.5, []Verb{Crowd, Hot, Leave, Heavy}, []float64{2, 1, 2, 1}},
}

const (
	linesLeast  = 2
	linesMost   = 9
	changedMost = 40
	meets       = 0.5  // share of the lines that are drawn near an earlier one
	triple      = 0.12 // of the scripts: a drain, a purge and a slow origin together
	nearMean    = 0.35 // seconds
	calmLast    = 6 * clock.Second
)

// NewDraw draws for a cast, from a seed.
func NewDraw(c Cast, seed uint64) *Draw {
	src := rand.NewPCG(seed, 0x6661756c7473)
	d := &Draw{cast: c, rand: rand.New(src), spans: distuv.LogNormal{Mu: math.Log(2.5), Sigma: 0.8, Src: src},
		sizes: distuv.LogNormal{Mu: math.Log(4), Sigma: 0.7, Src: src}, near: distuv.Exponential{Rate: 1 / nearMean, Src: src}}
	var weights []float64
	for _, f := range families {
		weights = append(weights, f.weight)
		d.within = append(d.within, distuv.NewCategorical(f.by, src))
	}
	d.family = distuv.NewCategorical(weights, src)
	return d
}

// Script draws a whole one.
func (d *Draw) Script() Script {
	var s Script
	if d.rand.Float64() < triple {
		at := d.time()
		s = append(s, d.of(Drain, d.nearTo(at)), d.of(Purge, d.nearTo(at)), d.slowOrigin(d.nearTo(at)))
	}
	for n := linesLeast + d.rand.IntN(linesMost-linesLeast+1); len(s) < n; {
		s = append(s, d.Line(s))
	}
	s.sort()
	return s
}

// Line draws one, near a line of a script if it falls so.
func (d *Draw) Line(s Script) Line {
	at := d.time()
	if len(s) > 0 && d.rand.Float64() < meets {
		at = d.nearTo(s[d.rand.IntN(len(s))].At)
	}
	f := int(d.family.Rand())
	return d.of(families[f].kinds[int(d.within[f].Rand())], at)
}

// odd draws a line whose kind and machine have no weights: what Line seldom draws comes as often as the rest.
func (d *Draw) odd(s Script) Line {
	l := d.Line(s)
	d.even = true
	l = d.of(Verb(d.rand.IntN(int(verbs))), l.At)
	d.even = false
	return l
}

// warm is the time at the start that is left to the deployment to come together.
const warm = 3 * clock.Second

func (d *Draw) time() Micros {
	return millis(float64(warm.Millis()) + d.rand.Float64()*(d.cast.Until-calmLast-warm).Millis())
}

func (d *Draw) nearTo(at Micros) Micros {
	by := d.near.Rand() * 1000
	if d.rand.IntN(2) == 0 {
		by = -by
	}
	return min(max(millis(at.Millis()+by), warm), d.cast.Until-calmLast)
}

func millis(ms float64) Micros { return Micros(ms) * clock.Millisecond }

func (d *Draw) slowOrigin(at Micros) Line {
	l := d.of(Slow, at)
	l.Names = []string{Origin}
	return l
}

// any names a machine: a cache mostly.
func (d *Draw) any(routers bool) string {
	n := d.rand.IntN(10)
	if d.even {
		n = [...]int{0, 7, 8, 9}[d.rand.IntN(4)]
	}
	switch {
	case routers && n < 4:
		return d.cast.router(d.rand.IntN(d.cast.Routers))
	case n == 8:
		return d.cast.parent(d.rand.IntN(d.cast.Parents))
	case n == 9:
		return Origin
	}
	return d.cast.cache(d.rand.IntN(d.cast.Caches))
}

func (d *Draw) pair(routersOnly bool) []string {
	a := d.cast.router(d.rand.IntN(d.cast.Routers))
	b := a
	for b == a {
		if b = d.any(true); routersOnly {
			b = d.cast.router(d.rand.IntN(d.cast.Routers))
		}
	}
	if d.rand.IntN(2) == 0 {
		a, b = b, a
	}
	return []string{a, b}
}

// of draws the rest of a line.
func (d *Draw) of(v Verb, at Micros) Line {
	l := Line{At: at, Do: v}
	switch v {
	case Drain, Remove, Replace:
		l.Names = []string{d.cast.cache(d.rand.IntN(d.cast.Caches))}
		if d.rand.IntN(6) == 0 && v != Replace {
			l.Names[0] = d.cast.parent(d.rand.IntN(d.cast.Parents))
		}
	case Purge:
		if d.rand.IntN(3) == 0 {
			l.Names = []string{fmt.Sprintf("group-%d", d.rand.IntN(d.cast.Groups))}
		} else {
			l.Names = []string{fmt.Sprintf("object-%d", d.rand.IntN(max(d.cast.Objects/4, 1)))}
		}
	case Dies, Stops, Lost, Leaps:
		l.Names = []string{d.any(true)}
		if v == Leaps {
			l.Names = []string{d.cast.router(d.rand.IntN(d.cast.Routers))}
		}
	case Leaves, Full:
		l.Names = []string{d.cast.router(d.rand.IntN(d.cast.Routers))}
	case Slow, Refuses, Fails, Hangs, Halves, Finishes:
		l.Names = []string{d.any(false)}
	case Cut, Narrow, Reset:
		l.Names = d.pair(false)
	case Lossy:
		l.Names = d.pair(true)
	case Hot:
		l.Names = []string{fmt.Sprintf("object-%d", d.rand.IntN(d.cast.Objects))}
	}
	if v.Lasts() {
		l.Span = min(max(millis(d.spans.Rand()*1000), 50*clock.Millisecond), 12*clock.Second)
		if v == Leaps && d.rand.IntN(2) == 0 {
			l.Span = -l.Span
		}
	}
	switch v {
	case Slow, Crowd:
		l.Size = math.Min(math.Max(math.Round(d.sizes.Rand()*2)/2, 1.5), 30)
		if v == Crowd {
			l.Size = math.Min(l.Size, 5)
		}
	case Lossy, Leave:
		l.Size = float64(1+d.rand.IntN(9)) / 10
	case Reset:
		l.Size = float64(1 + d.rand.IntN(8))
		l.Mood = Moods[d.rand.IntN(len(Moods))]
	}
	return l
}

// Change gives a script that is another one's near kin: lines of another script's put among its own, lines more, one fewer, one drawn anew, one
// moved to another.
func (d *Draw) Change(s, other Script) Script {
	s = append(Script(nil), s...)
	if d.rand.IntN(3) == 0 {
		for _, l := range other {
			if d.rand.IntN(2) == 0 {
				s = append(s, l)
			}
		}
	}
	for n := 1 + d.rand.IntN(4); n > 0; n-- {
		i := d.rand.IntN(max(len(s), 1))
		switch how := d.rand.IntN(8); {
		case how == 0 && len(s) > 1:
			s = append(s[:i], s[i+1:]...)
		case how == 1 && len(s) > 0:
			s[i] = d.of(s[i].Do, s[i].At)
		case how == 2 && len(s) > 1:
			s[i].At = d.nearTo(s[d.rand.IntN(len(s))].At)
		case how == 3:
			s = append(s, d.Line(s))
		default:
			s = append(s, d.odd(s))
		}
	}
	for len(s) > changedMost {
		i := d.rand.IntN(len(s))
		s = append(s[:i], s[i+1:]...)
	}
	s.sort()
	return s
}
