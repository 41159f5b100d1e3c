package main

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	pictureMargin  = 0.3 * vg.Centimeter
	legendPadding  = vg.Length(2) // between two lines of the legend
	legendHeadroom = 1.6          // ratio of the y axis to the highest point, so that the legend hides no curve
)

// runLongestFirst calls a function with each index below n, with at most jobs calls at a time, and waits until all
// have returned. It starts with the highest index: the runs of the largest clusters take longest.
func runLongestFirst(n, jobs int, call func(index int)) {
	indexes := make(chan int)
	var wait sync.WaitGroup
	for range max(jobs, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for index := range indexes {
				call(index)
			}
		}()
	}
	for index := n - 1; index >= 0; index-- {
		indexes <- index
	}
	close(indexes)
	wait.Wait()
}

// curve is a line through points, with its name in the legend.
type curve struct {
	name   string
	points plotter.XYs
}

// newSizePlot plots curves over the cluster size. The axis of sizes is logarithmic and has a tick at each size.
func newSizePlot(title, unit string, sizes []int, curves []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.X.Label.Text = "routers"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = sizeTicks(sizes)
	p.Y.Tick.Marker = roundTicks{}
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	for i, c := range curves {
		if err := addCurve(p, i, c); err != nil {
			return nil, err
		}
	}
	p.Y.Max *= legendHeadroom
	return p, nil
}

// addCurve adds a curve to a plot. The index selects its color and the shape of its points.
func addCurve(p *plot.Plot, index int, c curve) error {
	line, scatter, err := plotter.NewLinePoints(c.points)
	if err != nil {
		return fmt.Errorf("curve %q: %w", c.name, err)
	}
	line.Color = plotutil.Color(index)
	scatter.Color = plotutil.Color(index)
	scatter.Shape = plotutil.Shape(index)
	p.Add(line, scatter)
	p.Legend.Add(c.name, line, scatter)
	return nil
}

// writePicture writes plots, one below the other, to a PNG file.
func writePicture(path string, plots ...*plot.Plot) error {
	var column [][]*plot.Plot
	for _, p := range plots {
		column = append(column, []*plot.Plot{p})
	}
	canvas := vgimg.New(20*vg.Centimeter, vg.Length(len(plots))*9*vg.Centimeter)
	tiles := draw.Tiles{
		Rows:      len(plots),
		Cols:      1,
		PadY:      vg.Centimeter,
		PadTop:    pictureMargin,
		PadBottom: pictureMargin,
		PadLeft:   pictureMargin,
		PadRight:  pictureMargin,
	}
	for i, tile := range plot.Align(column, tiles, draw.New(canvas)) {
		plots[i].Draw(tile[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(f)
	return errors.Join(err, f.Close())
}

// sizeTicks places ticks at cluster sizes. It implements plot.Ticker.
type sizeTicks []int

// Ticks returns a tick for each size, whatever the range of the axis.
func (s sizeTicks) Ticks(_, _ float64) []plot.Tick {
	var ticks []plot.Tick
	for _, size := range s {
		ticks = append(ticks, plot.Tick{Value: float64(size), Label: fmt.Sprint(size)})
	}
	return ticks
}

// roundTicks places ticks at multiples of 1, 2 or 5 times a power of ten. It implements plot.Ticker.
type roundTicks struct{}

// maxTicks is the largest number of intervals between ticks.
const maxTicks = 8

// Ticks returns the ticks for an axis from lowest to highest, at the smallest step that gives at most maxTicks
// intervals.
func (roundTicks) Ticks(lowest, highest float64) []plot.Tick {
	power := math.Pow(10, math.Floor(math.Log10((highest-lowest)/maxTicks)))
	step := 10 * power
	for _, factor := range []float64{1, 2, 5} {
		if (highest-lowest)/(factor*power) <= maxTicks {
			step = factor * power
			break
		}
	}
	var ticks []plot.Tick
	for i := math.Ceil(lowest / step); i*step <= highest; i++ {
		ticks = append(ticks, plot.Tick{Value: i * step, Label: strconv.FormatFloat(i*step, 'g', 3, 64)})
	}
	return ticks
}
