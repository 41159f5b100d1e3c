package main

import (
	"errors"
	"fmt"
	"image/color"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"threadrun/simulation/system"
)

// faultKinds returns the kinds of faults that began within one second of another fault, sorted.
func faultKinds(result *system.Report) []string {
	var kinds []string
	for pair := range result.Pairs {
		a, b, _ := strings.Cut(pair, "+")
		kinds = append(kinds, a, b)
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}

// pairCount returns the number of scripts in which faults of two kinds began within one second of each other.
func pairCount(result *system.Report, a, b string) int {
	if b < a {
		a, b = b, a
	}
	return result.Pairs[a+"+"+b]
}

// pairTable formats the counts of all pairs as a triangular table: a line and a column for each kind.
func pairTable(result *system.Report) string {
	kinds := faultKinds(result)
	var b strings.Builder
	for i, kind := range kinds {
		fmt.Fprintf(&b, "%-18s", kind)
		for _, other := range kinds[:i] {
			fmt.Fprintf(&b, "%4d", pairCount(result, kind, other))
		}
		fmt.Fprintf(&b, "   .\n")
	}
	return b.String()
}

// pairGrid has the counts of all pairs as the grid of a heat map. It implements plotter.GridXYZ.
type pairGrid struct {
	result *system.Report
	kinds  []string
}

// Dims returns the size of the grid.
func (g pairGrid) Dims() (columns, lines int) { return len(g.kinds), len(g.kinds) }

// X returns the coordinate of a column.
func (g pairGrid) X(column int) float64 { return float64(column) }

// Y returns the coordinate of a line.
func (g pairGrid) Y(line int) float64 { return float64(line) }

// Z returns log(1 + n) for the count n of a pair.
func (g pairGrid) Z(column, line int) float64 {
	return math.Log1p(float64(pairCount(g.result, g.kinds[column], g.kinds[line])))
}

// reversedPalette is a palette in reverse order, so that the lowest value is white.
type reversedPalette struct{ palette.Palette }

// Colors returns the palette's colors in reverse order.
func (p reversedPalette) Colors() []color.Color {
	colors := slices.Clone(p.Palette.Colors())
	slices.Reverse(colors)
	return colors
}

// plotPairs plots the counts of all pairs as a heat map. The format of the file follows from the extension of path.
func plotPairs(result *system.Report, path string) error {
	g := pairGrid{result, faultKinds(result)}
	if len(g.kinds) < 2 {
		return errors.New("fewer than two kinds of faults began within one second of another")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf(
		"Pairs of faults that began within one second, in %d scripts (color: logarithm of the count)", result.Seeds)
	ticks := make([]plot.Tick, len(g.kinds))
	for i, kind := range g.kinds {
		ticks[i] = plot.Tick{Value: float64(i), Label: kind}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.X.Tick.Label.Rotation = math.Pi / 2
	p.X.Tick.Label.XAlign = -1
	p.X.Tick.Label.YAlign = -0.5
	p.Add(plotter.NewHeatMap(g, reversedPalette{palette.Heat(64, 1)}))
	return p.Save(10*vg.Inch, 10*vg.Inch, path)
}
