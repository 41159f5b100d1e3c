package main

import (
	"encoding/json"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// plotRecoveryRun is the experiment 'back': recovery over the size of the cluster, with records and without.
type plotRecoveryRun struct {
	Out   string   `default:"docs/coming-back.png" help:"The picture, a PNG file."`
	Lines []string `type:"existingfile" help:"Files with results of 'comeback --json'; else all sizes are simulated."`
	Sizes []int    `default:"10,30,100,200,350" help:"Routers of the cluster, in ascending order."`
	Loss  float64  `default:"0.1" help:"Share of datagrams lost, in each direction."`
	Seed  uint32   `default:"1" help:"The same seed gives the same picture."`
	Jobs  int      `default:"3" help:"Runs at a time."`
}

// legendRoom is how much higher than the highest point a plot is.
const legendRoom = 1.4

// Run is called by the command line.
func (r *plotRecoveryRun) Run() error {
	results, err := readResults(r.Lines)
	if err != nil {
		return err
	}
	if len(results) == 0 {
		results = r.simulate()
	}
	r.Sizes = r.Sizes[:0]
	for _, x := range results {
		r.Sizes = append(r.Sizes, x.Routers)
		fmt.Print(x.summary())
	}
	return r.draw(results)
}

func readResults(files []string) ([]recoveryResult, error) {
	var results []recoveryResult
	for _, path := range files {
		line, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var result recoveryResult
		if err := json.Unmarshal(line, &result); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, result)
	}
	return results, nil
}

func (l *recoveryResult) summary() string {
	return fmt.Sprintf("%4d routers: relearned %6d ms (without records %6d), ",
		l.Routers, l.RelearnedMs.P50, l.RelearnedWithoutMs.P50) +
		fmt.Sprintf("full service %6d ms (%6d), ", l.FullServiceMs.P50, l.FullServiceWithoutMs.P50) +
		fmt.Sprintf("peaks %.2f %.2f (%.2f %.2f), %.1f datagrams a second\n",
			l.PeakParent, l.PeakOrigin, l.PeakParentWithout, l.PeakOriginWithout, l.DatagramsPerSecond)
}

func (r *plotRecoveryRun) simulate() []recoveryResult {
	results := make([]recoveryResult, len(r.Sizes))
	runLongestFirst(len(r.Sizes), r.Jobs, func(i int) {
		run := recoveryRun{
			Routers:     r.Sizes[i],
			KillShare:   0.7,
			Objects:     1000,
			RequestRate: 20,
			Restart:     3,
			Loss:        r.Loss,
			Seconds:     100,
			Seed:        r.Seed,
		}
		results[i] = run.result()
	})
	return results
}

// recoveryCurve is a figure of a result, over the size of the cluster.
type recoveryCurve struct {
	name   string
	figure func(*recoveryResult) float64
}

// recoveryPlot is some of the curves in one plot.
type recoveryPlot struct {
	title, unit string
	curves      []recoveryCurve
}

var recoveryPlots = []recoveryPlot{
	{"Seven in ten routers killed at one time: from the restart until", "seconds", []recoveryCurve{
		{"relearned, with records", func(x *recoveryResult) float64 { return float64(x.RelearnedMs.P50) / 1000 }},
		{"relearned, without", func(x *recoveryResult) float64 { return float64(x.RelearnedWithoutMs.P50) / 1000 }},
		{"full service, with records", func(x *recoveryResult) float64 { return float64(x.FullServiceMs.P50) / 1000 }},
		{"full service, without", func(x *recoveryResult) float64 { return float64(x.FullServiceWithoutMs.P50) / 1000 }},
	}},
	{"Highest rate in one second over the rate before", "", []recoveryCurve{
		{"fills at parents, with records", func(x *recoveryResult) float64 { return x.PeakParent }},
		{"fills at parents, without", func(x *recoveryResult) float64 { return x.PeakParentWithout }},
		{"fetches at the origin, with records", func(x *recoveryResult) float64 { return x.PeakOrigin }},
		{"fetches at the origin, without", func(x *recoveryResult) float64 { return x.PeakOriginWithout }},
	}},
	{"Datagrams that a router sends", "a second", []recoveryCurve{
		{"with records", func(x *recoveryResult) float64 { return x.DatagramsPerSecond }},
	}},
}

// draw makes the picture: times above, peaks in the middle, datagrams below.
func (r *plotRecoveryRun) draw(results []recoveryResult) error {
	var plots []*plot.Plot
	for _, figure := range recoveryPlots {
		p := newSizePlot(figure.title, figure.unit, r.Sizes)
		highest := p.Y.Max
		for i, curve := range figure.curves {
			var points plotter.XYs
			for k := range results {
				y := curve.figure(&results[k])
				points = append(points, plotter.XY{X: float64(results[k].Routers), Y: y})
				highest = max(highest, y*legendRoom)
			}
			if err := addCurve(p, i, curve.name, points); err != nil {
				return err
			}
		}
		p.Y.Max = highest
		plots = append(plots, p)
	}
	return writePicture(r.Out, plots...)
}
