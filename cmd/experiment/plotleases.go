package main

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot/plotter"
)

// plotLeasesRun is the experiment 'plot-leases': takeover time and datagrams over the size of the cluster.
type plotLeasesRun struct {
	Out     string    `default:"docs/leases.png" help:"PNG file to write."`
	Sizes   []int     `default:"3,5,10,16,30,60,100,200,300" help:"Routers of the cluster, in ascending order."`
	Losses  []float64 `default:"0,0.1,0.3" help:"Shares of datagrams lost, in each direction."`
	Leases  int       `default:"2000" help:"Leases that they share."`
	Seconds float64   `default:"120" help:"Length of each run, in seconds of virtual time."`
	Kills   int       `default:"4" help:"Routers killed in each run."`
	Seed    uint32    `default:"1" help:"Seed of the simulations; the same seed gives the same plot."`
	Jobs    int       `default:"4" help:"Runs at a time."`
}

// restartDelaySeconds is the time until a killed router restarts.
const restartDelaySeconds = 6

// Run is called by the command line.
func (r *plotLeasesRun) Run() error {
	results := r.simulate()
	fmt.Print(leasesTable(results))
	return r.draw(results)
}

// simulate gives results by loss and size.
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

func leasesTable(results [][]leasesResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%8s %6s %12s %12s %10s %8s %8s %8s\n",
		"routers", "loss", "takeover p50", "takeover p99", "long gaps", "moved", "dup.", "per s")
	for _, ofLoss := range results {
		for _, x := range ofLoss {
			fmt.Fprintf(&b, "%8d %5.0f%% %9d ms %9d ms %10d %8.2f %8.4f %8.1f\n", x.Routers, x.Loss*100, x.TakeoverMs.P50,
				x.TakeoverMs.P99, x.LongGaps, x.MovedPerOrphan, x.DuplicateShare, x.DatagramsPerRouterSecond)
		}
	}
	return b.String()
}

// draw plots takeover time above and datagrams below.
func (r *plotLeasesRun) draw(results [][]leasesResult) error {
	title := fmt.Sprintf(
		"Takeover time, p99: from a router's death to the next holder's first task (%d leases)", r.Leases)
	takeover := newSizePlot(title, "seconds", r.Sizes)
	takeover.Y.Max = 3.5
	datagrams := newSizePlot("Datagrams sent by each router", "datagrams a second", r.Sizes)
	for i, loss := range r.Losses {
		var takeoverPoints, datagramPoints plotter.XYs
		for _, x := range results[i] {
			routers := float64(x.Routers)
			takeoverPoints = append(takeoverPoints, plotter.XY{X: routers, Y: seconds(x.TakeoverMs.P99)})
			datagramPoints = append(datagramPoints, plotter.XY{X: routers, Y: x.DatagramsPerRouterSecond})
		}
		name := fmt.Sprintf("%.0f%% of datagrams lost in each direction", loss*100)
		if err := addCurve(takeover, i, name, takeoverPoints); err != nil {
			return err
		}
		if err := addCurve(datagrams, i, name, datagramPoints); err != nil {
			return err
		}
	}
	return writePicture(r.Out, takeover, datagrams)
}
