package faults

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"threadrun/internal/clock"
)

// Topology is who there is.
type Topology struct {
	Routers, Caches, Parents int
	Objects, Groups          int
	Until                    Micros // no line begins later, and all are over some time before
}

// Names of the cast.
func (c Topology) router(n int) string { return fmt.Sprintf("router-%d", n) }
func (c Topology) cache(n int) string  { return fmt.Sprintf("cache-%d", n) }
func (c Topology) parent(n int) string { return fmt.Sprintf("parent-%d", n) }

// Origin and Board are names of one machine each.
const (
	Origin    = "origin"
	Discovery = "board"
)

// Generator draws scripts: kinds first by their family, then within it, each by weight; names by kind; spans and times by distributions of
// their own, with a liking for what meets.
type Generator struct {
	topology   Topology
	rand       *rand.Rand
	family     distuv.Categorical
	kindWithin []distuv.Categorical
	spans      distuv.LogNormal
	magnitudes distuv.LogNormal
	distances  distuv.Exponential
	unweighted bool // machines are drawn without weights
}

// families are kinds that belong together, with their weights.
var families = []struct {
	weight float64
	kinds  []Kind
	by     []float64
}{
	{4, []Kind{Drain, Remove, Replace}, []float64{5, 1, 1}},
	{4, []Kind{Purge}, []float64{1}},
	{4, []Kind{Slow, Reject, Fail, Truncate, HangConnects, HalfClose}, []float64{6, 2, 2, 2, 1, 1}},
	{3, []Kind{Crash, Pause, Shutdown, Partition, ExhaustDescriptors, ClockJump}, []float64{4, 3, 3, 2, 1, 1}},
	{2, []Kind{Cut, Loss, Throttle, Reset}, []float64{2, 2, 1, 3}},
	{1, []Kind{DelayDiscovery, FragmentDiscovery, DiscoveryOutage}, []float64{2, 2, 1}},
	{1.5, []Kind{LoadSurge, HotObject, ClientsCancel, LargeWrites}, []float64{2, 1, 2, 1}},
}

const (
	minDrawnLines       = 2
	maxDrawnLines       = 9
	maxMutatedLines     = 40
	nearShare           = 0.5  // share of the lines that are drawn near an earlier one
	tripleShare         = 0.12 // of the scripts: a drain, a purge and a slow origin together
	meanDistanceSeconds = 0.35 // seconds
	quietEnd            = 6 * clock.Second
)

// NewGenerator draws for a cast, from a seed.
func NewGenerator(c Topology, seed uint64) *Generator {
	src := rand.NewPCG(seed, 0x6661756c7473)
	g := &Generator{topology: c, rand: rand.New(src), spans: distuv.LogNormal{Mu: math.Log(2.5), Sigma: 0.8, Src: src},
		magnitudes: distuv.LogNormal{Mu: math.Log(4), Sigma: 0.7, Src: src}, distances: distuv.Exponential{Rate: 1 / meanDistanceSeconds, Src: src}}
	var weights []float64
	for _, f := range families {
		weights = append(weights, f.weight)
		g.kindWithin = append(g.kindWithin, distuv.NewCategorical(f.by, src))
	}
	g.family = distuv.NewCategorical(weights, src)
	return g
}

// Script draws a whole one.
func (g *Generator) Script() Script {
	var s Script
	if g.rand.Float64() < tripleShare {
		at := g.beginning()
		s = append(s, g.lineOf(Drain, g.beginningNear(at)), g.lineOf(Purge, g.beginningNear(at)), g.slowOrigin(g.beginningNear(at)))
	}
	for n := minDrawnLines + g.rand.IntN(maxDrawnLines-minDrawnLines+1); len(s) < n; {
		s = append(s, g.Line(s))
	}
	s.sort()
	return s
}

// Line draws one, near a line of a script if it falls so.
func (g *Generator) Line(s Script) Line {
	at := g.beginning()
	if len(s) > 0 && g.rand.Float64() < nearShare {
		at = g.beginningNear(s[g.rand.IntN(len(s))].At)
	}
	f := int(g.family.Rand())
	return g.lineOf(families[f].kinds[int(g.kindWithin[f].Rand())], at)
}

// unweightedLine draws a line whose kind and machine have no weights: what Line seldom draws comes as often as the rest.
func (g *Generator) unweightedLine(s Script) Line {
	l := g.Line(s)
	g.unweighted = true
	l = g.lineOf(Kind(g.rand.IntN(int(kinds))), l.At)
	g.unweighted = false
	return l
}

// quietStart is the time at the start that is left to the deployment to come together.
const quietStart = 3 * clock.Second

func (g *Generator) beginning() Micros {
	return millis(float64(quietStart.Millis()) + g.rand.Float64()*(g.topology.Until-quietEnd-quietStart).Millis())
}

func (g *Generator) beginningNear(at Micros) Micros {
	by := g.distances.Rand() * 1000
	if g.rand.IntN(2) == 0 {
		by = -by
	}
	return min(max(millis(at.Millis()+by), quietStart), g.topology.Until-quietEnd)
}

func millis(ms float64) Micros { return Micros(ms) * clock.Millisecond }

func (g *Generator) slowOrigin(at Micros) Line {
	l := g.lineOf(Slow, at)
	l.Targets = []string{Origin}
	return l
}

// machine names a machine: a cache mostly.
func (g *Generator) machine(routers bool) string {
	n := g.rand.IntN(10)
	if g.unweighted {
		n = [...]int{0, 7, 8, 9}[g.rand.IntN(4)]
	}
	switch {
	case routers && n < 4:
		return g.topology.router(g.rand.IntN(g.topology.Routers))
	case n == 8:
		return g.topology.parent(g.rand.IntN(g.topology.Parents))
	case n == 9:
		return Origin
	}
	return g.topology.cache(g.rand.IntN(g.topology.Caches))
}

func (g *Generator) link(routersOnly bool) []string {
	a := g.topology.router(g.rand.IntN(g.topology.Routers))
	b := a
	for b == a {
		if b = g.machine(true); routersOnly {
			b = g.topology.router(g.rand.IntN(g.topology.Routers))
		}
	}
	if g.rand.IntN(2) == 0 {
		a, b = b, a
	}
	return []string{a, b}
}

// lineOf draws the rest of a line.
func (g *Generator) lineOf(v Kind, at Micros) Line {
	l := Line{At: at, Kind: v}
	switch v {
	case Drain, Remove, Replace:
		l.Targets = []string{g.topology.cache(g.rand.IntN(g.topology.Caches))}
		if g.rand.IntN(6) == 0 && v != Replace {
			l.Targets[0] = g.topology.parent(g.rand.IntN(g.topology.Parents))
		}
	case Purge:
		if g.rand.IntN(3) == 0 {
			l.Targets = []string{fmt.Sprintf("group-%d", g.rand.IntN(g.topology.Groups))}
		} else {
			l.Targets = []string{fmt.Sprintf("object-%d", g.rand.IntN(max(g.topology.Objects/4, 1)))}
		}
	case Crash, Pause, Partition, ClockJump:
		l.Targets = []string{g.machine(true)}
		if v == ClockJump {
			l.Targets = []string{g.topology.router(g.rand.IntN(g.topology.Routers))}
		}
	case Shutdown, ExhaustDescriptors:
		l.Targets = []string{g.topology.router(g.rand.IntN(g.topology.Routers))}
	case Slow, Reject, Fail, HangConnects, Truncate, HalfClose:
		l.Targets = []string{g.machine(false)}
	case Cut, Throttle, Reset:
		l.Targets = g.link(false)
	case Loss:
		l.Targets = g.link(true)
	case HotObject:
		l.Targets = []string{fmt.Sprintf("object-%d", g.rand.IntN(g.topology.Objects))}
	}
	if v.HasSpan() {
		l.Span = min(max(millis(g.spans.Rand()*1000), 50*clock.Millisecond), 12*clock.Second)
		if v == ClockJump && g.rand.IntN(2) == 0 {
			l.Span = -l.Span
		}
	}
	switch v {
	case Slow, LoadSurge:
		l.Magnitude = math.Min(math.Max(math.Round(g.magnitudes.Rand()*2)/2, 1.5), 30)
		if v == LoadSurge {
			l.Magnitude = math.Min(l.Magnitude, 5)
		}
	case Loss, ClientsCancel:
		l.Magnitude = float64(1+g.rand.IntN(9)) / 10
	case Reset:
		l.Magnitude = float64(1 + g.rand.IntN(8))
		l.Variant = ResetVariants[g.rand.IntN(len(ResetVariants))]
	}
	return l
}

// Mutate gives a script that is another one's near kin: lines of another script's put among its own, lines more, one fewer, one drawn anew, one
// moved to another.
func (g *Generator) Mutate(s, other Script) Script {
	s = append(Script(nil), s...)
	if g.rand.IntN(3) == 0 {
		for _, l := range other {
			if g.rand.IntN(2) == 0 {
				s = append(s, l)
			}
		}
	}
	for n := 1 + g.rand.IntN(4); n > 0; n-- {
		i := g.rand.IntN(max(len(s), 1))
		switch how := g.rand.IntN(8); {
		case how == 0 && len(s) > 1:
			s = append(s[:i], s[i+1:]...)
		case how == 1 && len(s) > 0:
			s[i] = g.lineOf(s[i].Kind, s[i].At)
		case how == 2 && len(s) > 1:
			s[i].At = g.beginningNear(s[g.rand.IntN(len(s))].At)
		case how == 3:
			s = append(s, g.Line(s))
		default:
			s = append(s, g.unweightedLine(s))
		}
	}
	for len(s) > maxMutatedLines {
		i := g.rand.IntN(len(s))
		s = append(s[:i], s[i+1:]...)
	}
	s.sort()
	return s
}
