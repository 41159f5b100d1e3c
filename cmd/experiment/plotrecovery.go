package main

import (
	"encoding/json"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// plotRecoveryRun is the experiment 'plot-recovery': it plots recovery over the cluster size, with and without
// records.
type plotRecoveryRun struct {
	Out     string   `default:"docs/recovery.png" help:"PNG file to write."`
	Results []string `type:"existingfile" help:"Files with results of 'recovery --json'; none: simulate all sizes."`
	Sizes   []int    `default:"10,30,100,200,350" help:"Cluster sizes in routers, in ascending order."`
	Loss    float64  `default:"0.1" help:"Share of the datagrams lost, in each direction."`
	Seed    uint32   `default:"1" help:"Seed of the simulations; the same seed gives the same plot."`
	Jobs    int      `default:"3" help:"Number of runs at a time."`
}

// Run runs the experiment. It is called by the command line.
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
		fmt.Print(x.tableLine())
	}
	return r.draw(results)
}

// readResults reads the result of the experiment 'recovery' from each file.
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

// tableLine formats a result as one line, with the values without records in parentheses.
func (l *recoveryResult) tableLine() string {
	without := &l.WithoutRecords
	return fmt.Sprintf("%4d routers: relearned %6d ms (without records %6d), ",
		l.Routers, l.RelearnedMs.P50, without.RelearnedMs.P50) +
		fmt.Sprintf("full service %6d ms (%6d), ", l.FullServiceMs.P50, without.FullServiceMs.P50) +
		fmt.Sprintf("peaks %.2f %.2f (%.2f %.2f), %.1f datagrams a second\n",
			l.ParentPeakRatio, l.OriginPeakRatio, without.ParentPeakRatio, without.OriginPeakRatio,
			l.DatagramsPerRouterSecond)
}

// simulate runs the experiment 'recovery' for each size. It returns the results in the order of sizes.
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

// recoveryCurve is the curve of one value of the results.
type recoveryCurve struct {
	name  string
	value func(*recoveryResult) float64
}

// recoveryPlot describes one plot of the picture.
type recoveryPlot struct {
	title, unit string
	curves      []recoveryCurve
}

// recoveryPlots are the plots of the picture, from top to bottom.
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

// seconds converts milliseconds to seconds.
func seconds(ms int64) float64 { return float64(ms) / 1000 }

// draw writes the picture with all recoveryPlots.
func (r *plotRecoveryRun) draw(results []recoveryResult) error {
	var plots []*plot.Plot
	for _, content := range recoveryPlots {
		var curves []curve
		for _, c := range content.curves {
			curves = append(curves, c.toCurve(results))
		}
		p, err := newSizePlot(content.title, content.unit, r.Sizes, curves)
		if err != nil {
			return err
		}
		plots = append(plots, p)
	}
	return writePicture(r.Out, plots...)
}

// toCurve returns the curve's points for the results.
func (c *recoveryCurve) toCurve(results []recoveryResult) curve {
	result := curve{name: c.name}
	for i := range results {
		x := &results[i]
		result.points = append(result.points, plotter.XY{X: float64(x.Routers), Y: c.value(x)})
	}
	return result
}
