package main

import (
	"encoding/json"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// plotRecoveryRun is the experiment 'plot-recovery': recovery over the size of the cluster, with records and without.
type plotRecoveryRun struct {
	Out     string   `default:"docs/recovery.png" help:"PNG file to write."`
	Results []string `type:"existingfile" help:"Files with results of 'recovery --json'; else all sizes are simulated."`
	Sizes   []int    `default:"10,30,100,200,350" help:"Routers of the cluster, in ascending order."`
	Loss    float64  `default:"0.1" help:"Share of datagrams lost, in each direction."`
	Seed    uint32   `default:"1" help:"Seed of the simulations; the same seed gives the same plot."`
	Jobs    int      `default:"3" help:"Runs at a time."`
}

// legendRoom is how much higher than the highest point a plot is.
const legendRoom = 1.4

// Run is called by the command line.
func (r *plotRecoveryRun) Run() error {
	results, err := readResults(r.Results)
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
	without := &l.WithoutRecords
	return fmt.Sprintf("%4d routers: relearned %6d ms (without records %6d), ",
		l.Routers, l.RelearnedMs.P50, without.RelearnedMs.P50) +
		fmt.Sprintf("full service %6d ms (%6d), ", l.FullServiceMs.P50, without.FullServiceMs.P50) +
		fmt.Sprintf("peaks %.2f %.2f (%.2f %.2f), %.1f datagrams a second\n",
			l.ParentPeakRatio, l.OriginPeakRatio, without.ParentPeakRatio, without.OriginPeakRatio,
			l.DatagramsPerRouterSecond)
}

func (r *plotRecoveryRun) simulate() []recoveryResult {
	results := make([]recoveryResult, len(r.Sizes))
	runLongestFirst(len(r.Sizes), r.Jobs, func(i int) {
		run := recoveryRun{
			Routers:      r.Sizes[i],
			KillShare:    0.7,
			Objects:      1000,
			RequestRate:  20,
			RestartDelay: 3,
			Loss:         r.Loss,
			Seconds:      100,
			Seed:         r.Seed,
		}
		results[i] = run.result()
	})
	return results
}

// recoveryCurve is one value of a result, over the size of the cluster.
type recoveryCurve struct {
	name  string
	value func(*recoveryResult) float64
}

// recoveryPlot is some of the curves in one plot.
type recoveryPlot struct {
	title, unit string
	curves      []recoveryCurve
}

var recoveryPlots = []recoveryPlot{
	{"Time from the restart of the routers killed at one time, p50", "seconds", []recoveryCurve{
		{"relearned, with records", func(x *recoveryResult) float64 { return seconds(x.RelearnedMs.P50) }},
		{"relearned, without records", func(x *recoveryResult) float64 {
			return seconds(x.WithoutRecords.RelearnedMs.P50)
		}},
		{"full service, with records", func(x *recoveryResult) float64 { return seconds(x.FullServiceMs.P50) }},
		{"full service, without records", func(x *recoveryResult) float64 {
			return seconds(x.WithoutRecords.FullServiceMs.P50)
		}},
	}},
	{"Highest rate in one second after the kill", "ratio to the rate before", []recoveryCurve{
		{"fills at parents, with records", func(x *recoveryResult) float64 { return x.ParentPeakRatio }},
		{"fills at parents, without records", func(x *recoveryResult) float64 {
			return x.WithoutRecords.ParentPeakRatio
		}},
		{"fetches from the origin, with records", func(x *recoveryResult) float64 { return x.OriginPeakRatio }},
		{"fetches from the origin, without records", func(x *recoveryResult) float64 {
			return x.WithoutRecords.OriginPeakRatio
		}},
	}},
	{"Datagrams sent by each router", "datagrams a second", []recoveryCurve{
		{"with records", func(x *recoveryResult) float64 { return x.DatagramsPerRouterSecond }},
	}},
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }

// draw plots times above, peaks in the middle and datagrams below.
func (r *plotRecoveryRun) draw(results []recoveryResult) error {
	var plots []*plot.Plot
	for _, content := range recoveryPlots {
		p := newSizePlot(content.title, content.unit, r.Sizes)
		highest := p.Y.Max
		for i, curve := range content.curves {
			var points plotter.XYs
			for k := range results {
				y := curve.value(&results[k])
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
