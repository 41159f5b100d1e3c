package faults

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"threadrun/internal/clock"
)

// Names of the origin and of discovery as targets in scripts.
const (
	Origin    = "origin"
	Discovery = "board"
)

// Topology is the size of a deployment, which determines the names that generated scripts contain, and the length of
// a run.
type Topology struct {
	Routers, Caches, Parents int
	Objects, Groups          int
	Until                    Micros // the end of the run; faults begin at least quietEnd before it
}

func routerName(n int) string { return fmt.Sprintf("router-%d", n) }
func cacheName(n int) string  { return fmt.Sprintf("cache-%d", n) }
func parentName(n int) string { return fmt.Sprintf("parent-%d", n) }
func groupName(n int) string  { return fmt.Sprintf("group-%d", n) }
func objectName(n int) string { return fmt.Sprintf("object-%d", n) }

// family is a set of related kinds, each with its weight within the family.
type family struct {
	weight      float64
	kinds       []Kind
	kindWeights []float64
}

// families holds all kinds. The kind of a line is drawn in two steps: a family by weight, then a kind of it by
// weight.
var families = []family{
	{4, []Kind{Drain, Remove, Replace}, []float64{5, 1, 1}},
	{4, []Kind{Purge}, []float64{1}},
	{4, []Kind{Slow, Reject, Fail, Truncate, HangConnects, HalfClose}, []float64{6, 2, 2, 2, 1, 1}},
	{3, []Kind{Crash, Pause, Shutdown, Partition, ExhaustDescriptors, ClockJump}, []float64{4, 3, 3, 2, 1, 1}},
	{2, []Kind{Cut, Loss, Throttle, Reset}, []float64{2, 2, 1, 3}},
	{1, []Kind{DelayDiscovery, FragmentDiscovery, DiscoveryOutage}, []float64{2, 2, 1}},
	{1.5, []Kind{LoadSurge, HotObject, ClientsCancel, LargeWrites}, []float64{2, 1, 2, 1}},
}

const (
	minLines    = 2
	maxLines    = 9
	nearbyShare = 0.5              // share of the lines that begin near a line drawn before
	tripleShare = 0.12             // share of the scripts with a drain, a purge and a slow origin near each other
	quietStart  = 3 * clock.Second // from the start of the run: no fault begins while the deployment starts
	quietEnd    = 6 * clock.Second // before Topology.Until: no fault begins

	meanGapSeconds    = 0.35 // between nearby lines
	medianSpanSeconds = 2.5
	spanSigma         = 0.8 // of the logarithm
	minSpan           = 50 * clock.Millisecond
	maxSpan           = 12 * clock.Second

	medianFactor   = 4   // of Slow and LoadSurge
	factorSigma    = 0.7 // of the logarithm
	minFactor      = 1.5
	maxFactor      = 30
	maxSurgeFactor = 5
	maxResets      = 8 // connections of one Reset
)

// Generator draws random scripts. Kinds and targets are drawn by weight, times uniformly, and spans and factors from
// log-normal distributions. Half of the lines begin near a line drawn before, since overlapping faults reveal more.
type Generator struct {
	topology     Topology
	rand         *rand.Rand
	family       distuv.Categorical
	kindInFamily []distuv.Categorical // by family
	spans        distuv.LogNormal     // in seconds
	factors      distuv.LogNormal
	gaps         distuv.Exponential // in seconds
	unweighted   bool               // drawMachine draws without weights
}

// NewGenerator returns a Generator for a topology.
func NewGenerator(topology Topology, seed uint64) *Generator {
	src := rand.NewPCG(seed, 0x6661756c7473)
	g := &Generator{
		topology: topology,
		rand:     rand.New(src),
		spans:    distuv.LogNormal{Mu: math.Log(medianSpanSeconds), Sigma: spanSigma, Src: src},
		factors:  distuv.LogNormal{Mu: math.Log(medianFactor), Sigma: factorSigma, Src: src},
		gaps:     distuv.Exponential{Rate: 1 / meanGapSeconds, Src: src},
	}
	var weights []float64
	for _, f := range families {
		weights = append(weights, f.weight)
		g.kindInFamily = append(g.kindInFamily, distuv.NewCategorical(f.kindWeights, src))
	}
	g.family = distuv.NewCategorical(weights, src)
	return g
}

// Script draws a script of minLines to maxLines lines.
func (g *Generator) Script() Script {
	var s Script
	if g.rand.Float64() < tripleShare {
		at := g.drawStart()
		s = append(s, g.drawLineOf(Drain, g.drawStartNear(at)))
		s = append(s, g.drawLineOf(Purge, g.drawStartNear(at)))
		s = append(s, g.drawSlowOrigin(g.drawStartNear(at)))
	}
	lines := minLines + g.rand.IntN(maxLines-minLines+1)
	for len(s) < lines {
		s = append(s, g.Line(s))
	}
	s.sort()
	return s
}

// Line draws a line to add to a script. The line may begin near one of the script's lines. The script is not changed.
func (g *Generator) Line(s Script) Line {
	at := g.drawStart()
	if len(s) > 0 && g.rand.Float64() < nearbyShare {
		at = g.drawStartNear(s[g.rand.IntN(len(s))].At)
	}
	f := int(g.family.Rand())
	kind := families[f].kinds[int(g.kindInFamily[f].Rand())]
	return g.drawLineOf(kind, at)
}

// drawUnweightedLine draws a line in which all kinds, and all sorts of machines, are equally likely, so that rare
// ones occur more often.
func (g *Generator) drawUnweightedLine(s Script) Line {
	at := g.Line(s).At
	g.unweighted = true
	l := g.drawLineOf(Kind(g.rand.IntN(int(numKinds))), at)
	g.unweighted = false
	return l
}

// drawStart draws a time between the quiet spans at the start and at the end.
func (g *Generator) drawStart() Micros {
	last := g.topology.Until - quietEnd
	return millis(float64(quietStart.Millis()) + g.rand.Float64()*(last-quietStart).Millis())
}

// drawStartNear draws a time shortly before or after another one, but not in the quiet spans.
func (g *Generator) drawStartNear(at Micros) Micros {
	gap := g.gaps.Rand() * 1000
	if g.rand.IntN(2) == 0 {
		gap = -gap
	}
	return min(max(millis(at.Millis()+gap), quietStart), g.topology.Until-quietEnd)
}

// millis converts milliseconds to a span and drops fractions of a millisecond.
func millis(ms float64) Micros { return Micros(ms) * clock.Millisecond }

// drawSlowOrigin draws a line of kind Slow and sets its target to the origin.
func (g *Generator) drawSlowOrigin(at Micros) Line {
	l := g.drawLineOf(Slow, at)
	l.Targets = []string{Origin}
	return l
}

// drawLineOf draws the targets, span, magnitude and variant of a line of a given kind and time. With a single router
// it draws a Cut in place of a Loss.
func (g *Generator) drawLineOf(kind Kind, at Micros) Line {
	if kind == Loss && g.topology.Routers < 2 { // only routers send datagrams, and only to each other
		kind = Cut
	}
	l := Line{At: at, Kind: kind, Targets: g.drawTargets(kind)}
	if kind.HasSpan() {
		l.Span = g.drawSpan(kind)
	}
	if kind.HasMagnitude() {
		l.Magnitude = g.drawMagnitude(kind)
	}
	if kind == Reset {
		l.Variant = ResetVariants[g.rand.IntN(len(ResetVariants))]
	}
	return l
}

// drawSpan draws the span of a kind, which for ClockJump may be negative.
func (g *Generator) drawSpan(kind Kind) Micros {
	span := min(max(millis(g.spans.Rand()*1000), minSpan), maxSpan)
	if kind == ClockJump && g.rand.IntN(2) == 0 {
		return -span
	}
	return span
}

// drawMagnitude draws the magnitude of a kind: a factor, a number of connections, or a share from 0.1 to 0.9.
func (g *Generator) drawMagnitude(kind Kind) float64 {
	switch kind {
	case Slow:
		return g.drawFactor()
	case LoadSurge:
		return math.Min(g.drawFactor(), maxSurgeFactor)
	case Reset:
		return float64(1 + g.rand.IntN(maxResets))
	default: // a share
		return float64(1+g.rand.IntN(9)) / 10
	}
}

// drawFactor draws a multiple of one half between minFactor and maxFactor.
func (g *Generator) drawFactor() float64 {
	return math.Min(math.Max(math.Round(g.factors.Rand()*2)/2, minFactor), maxFactor)
}
