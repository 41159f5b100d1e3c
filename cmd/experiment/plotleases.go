package main

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot/plotter"
)

// plotLeasesRun is the experiment 'plot-leases': it plots the takeover time of leases and the datagrams that a
// router sends over the cluster size, with a curve for each loss.
type plotLeasesRun struct {
	Out     string    `default:"docs/leases.png" help:"PNG file to write."`
	Sizes   []int     `default:"3,5,10,16,30,60,100,200,300" help:"Cluster sizes in routers, in ascending order."`
	Losses  []float64 `default:"0,0.1,0.3" help:"Shares of the datagrams lost, in each direction; a curve for each."`
	Leases  int       `default:"2000" help:"Number of leases that the routers share."`
	Seconds float64   `default:"120" help:"Duration of each run, in seconds of virtual time."`
	Kills   int       `default:"4" help:"Number of routers killed in each run, one after another."`
	Seed    uint32    `default:"1" help:"Seed of the simulations; the same seed gives the same plot."`
	Jobs    int       `default:"4" help:"Number of runs at a time."`
}

// restartDelaySeconds is the time from the kill of a router until it restarts.
const restartDelaySeconds = 6

// Run runs the experiment. It is called by the command line.
func (r *plotLeasesRun) Run() error {
	results := r.simulate()
	fmt.Print(leasesTable(results))
	return r.draw(results)
}

// simulate runs all combinations. It returns the results by the indexes of the loss and the size.
func (r *plotLeasesRun) simulate() [][]leasesResult {
	losses := len(r.Losses)
	results := make([][]leasesResult, losses)
	for i := range results {
		results[i] = make([]leasesResult, len(r.Sizes))
	}
	runLongestFirst(len(r.Sizes)*losses, r.Jobs, func(index int) {
		size, loss := index/losses, index%losses
		run := leasesRun{
			Routers:      r.Sizes[size],
			Leases:       r.Leases,
			Loss:         r.Losses[loss],
			Kills:        r.Kills,
			Seconds:      r.Seconds,
			Seed:         r.Seed,
			RestartDelay: restartDelaySeconds,
		}
		results[loss][size] = run.simulate()
	})
	return results
}

// leasesTable formats the results as a table, with a line for each run.
func leasesTable(results [][]leasesResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%8s %6s %12s %12s %10s %8s %8s %8s\n",
		"routers", "loss", "takeover p50", "takeover p99", "long gaps", "moved", "dup.", "per s")
	for _, sameLoss := range results {
		for _, x := range sameLoss {
			fmt.Fprintf(&b, "%8d %5.0f%% %9d ms %9d ms %10d %8.2f %8.4f %8.1f\n", x.Routers, x.Loss*100, x.TakeoverMs.P50,
				x.TakeoverMs.P99, x.LongGaps, x.MovedPerOrphan, x.DuplicateShare, x.DatagramsPerRouterSecond)
		}
	}
	return b.String()
}

// draw writes a picture with the plot of the takeover time above the plot of datagrams.
func (r *plotLeasesRun) draw(results [][]leasesResult) error {
	takeoverCurves := make([]curve, len(r.Losses))
	datagramCurves := make([]curve, len(r.Losses))
	for i, loss := range r.Losses {
		name := fmt.Sprintf("%.0f%% of datagrams lost in each direction", loss*100)
		takeoverCurves[i].name = name
		datagramCurves[i].name = name
		for _, x := range results[i] {
			takeover := plotter.XY{X: float64(x.Routers), Y: seconds(x.TakeoverMs.P99)}
			takeoverCurves[i].points = append(takeoverCurves[i].points, takeover)
			datagrams := plotter.XY{X: float64(x.Routers), Y: x.DatagramsPerRouterSecond}
			datagramCurves[i].points = append(datagramCurves[i].points, datagrams)
		}
	}
	title := fmt.Sprintf("Takeover time of leases (p99, %d leases)", r.Leases)
	takeoverPlot, err := newSizePlot(title, "seconds", r.Sizes, takeoverCurves)
	if err != nil {
		return err
	}
	title = "Datagrams sent by each router"
	datagramPlot, err := newSizePlot(title, "datagrams a second", r.Sizes, datagramCurves)
	if err != nil {
		return err
	}
	return writePicture(r.Out, takeoverPlot, datagramPlot)
}
