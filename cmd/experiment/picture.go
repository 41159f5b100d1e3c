package main

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// runLongestFirst makes a call for each index below n, the highest first: with sizes in ascending order the longest
// runs are not the last to begin. It waits for all calls, of which so many run at a time.
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

// newSizePlot makes a plot over the size of the cluster, with a logarithmic axis that has a tick at each size.
func newSizePlot(title, unit string, sizes []int) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.X.Label.Text = "routers"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = sizeTicks(sizes)
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

// addCurve adds a line with points to a plot, in the color and shape of an index.
func addCurve(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, scatter, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("curve %q: %w", name, err)
	}
	line.Color = plotutil.Color(index)
	scatter.Color = plotutil.Color(index)
	scatter.Shape = plotutil.Shape(index)
	p.Add(line, scatter)
	p.Legend.Add(name, line, scatter)
	return nil
}

// writePicture writes plots below one another to a PNG file.
func writePicture(path string, plots ...*plot.Plot) error {
	var column [][]*plot.Plot
	for _, p := range plots {
		column = append(column, []*plot.Plot{p})
	}
	canvas := vgimg.New(20*vg.Centimeter, vg.Length(len(plots))*9*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter}
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

// sizeTicks puts the sizes on an axis.
type sizeTicks []int

// Ticks is called by the plot.
func (s sizeTicks) Ticks(_, _ float64) []plot.Tick {
	var ticks []plot.Tick
	for _, size := range s {
		ticks = append(ticks, plot.Tick{Value: float64(size), Label: fmt.Sprint(size)})
	}
	return ticks
}
