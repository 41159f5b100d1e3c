package main

import (
	"fmt"
	"os"
	"strings"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// plotRun is the command 'experiment plot'.
type plotRun struct {
	Out     string    `default:"docs/shared-duties.png" help:"The picture, PNG."`
	Sizes   []int     `default:"3,5,10,16,30,60,100,200,300" help:"Routers of the tier."`
	Losses  []float64 `default:"0,0.1,0.3" help:"Shares of datagrams lost, each way."`
	Duties  int       `default:"2000" help:"Duties that they share."`
	Seconds float64   `default:"120" help:"Length of each run, in virtual time."`
	Kills   int       `default:"4" help:"Routers killed in each run."`
	Seed    uint32    `default:"1" help:"The same seed gives the same picture."`
	Jobs    int       `default:"4" help:"Runs at a time."`
}

// Run is called by the command line.
func (r *plotRun) Run() error {
	type job struct{ loss, size int }
	lines := make([][]dutiesLine, len(r.Losses))
	jobs := make(chan job)
	var wait sync.WaitGroup
	for range max(r.Jobs, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for j := range jobs {
				run := dutiesRun{Routers: r.Sizes[j.size], Duties: r.Duties, Loss: r.Losses[j.loss], Kills: r.Kills, Seconds: r.Seconds,
					Seed: r.Seed, Restart: 6}
				lines[j.loss][j.size] = run.play()
			}
		}()
	}
	for i := range r.Losses {
		lines[i] = make([]dutiesLine, len(r.Sizes))
	}
	for j := len(r.Sizes) - 1; j >= 0; j-- { // the long ones first
		for i := range r.Losses {
			jobs <- job{i, j}
		}
	}
	close(jobs)
	wait.Wait()
	var b strings.Builder
	fmt.Fprintf(&b, "%8s %6s %12s %12s %10s %8s %8s %8s\n", "routers", "loss", "takeover p50", "takeover p99", "undone", "moved", "twice", "per s")
	for i := range r.Losses {
		for _, x := range lines[i] {
			fmt.Fprintf(&b, "%8d %5.0f%% %9d ms %9d ms %10d %8.2f %8.4f %8.1f\n", x.Routers, x.Loss*100, x.TakeoverMs.P50, x.TakeoverMs.P99,
				x.LeftUndone, x.MovedOnDeath, x.DoneTwiceShare, x.DatagramsPerSec)
		}
	}
	fmt.Print(b.String())
	return r.draw(lines)
}

// draw makes the picture: takeover above, datagrams below.
func (r *plotRun) draw(lines [][]dutiesLine) error {
	over, sent := plot.New(), plot.New()
	over.Title.Text = fmt.Sprintf("A router's death until the next holder's first work, p99 (%d duties, work every 500 ms)", r.Duties)
	over.Y.Label.Text, over.Y.Min, over.Y.Max = "seconds", 0, 3.5
	sent.Title.Text = "Datagrams that a router sends"
	sent.Y.Label.Text, sent.Y.Min = "a second", 0
	for _, p := range []*plot.Plot{over, sent} {
		p.X.Label.Text = "routers"
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, marks(r.Sizes)
		p.Add(plotter.NewGrid())
		p.Legend.Top = true
	}
	for i, loss := range r.Losses {
		var a, b plotter.XYs
		for _, x := range lines[i] {
			a = append(a, plotter.XY{X: float64(x.Routers), Y: float64(x.TakeoverMs.P99) / 1000})
			b = append(b, plotter.XY{X: float64(x.Routers), Y: x.DatagramsPerSec})
		}
		for p, xys := range map[*plot.Plot]plotter.XYs{over: a, sent: b} {
			l, s, err := plotter.NewLinePoints(xys)
			if err != nil {
				return err
			}
			l.Color, s.Color, s.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
			p.Add(l, s)
			p.Legend.Add(fmt.Sprintf("%.0f%% lost each way", loss*100), l, s)
		}
	}
	return picture(r.Out, over, sent)
}

// picture writes plots below one another.
func picture(path string, plots ...*plot.Plot) error {
	var column [][]*plot.Plot
	for _, p := range plots {
		column = append(column, []*plot.Plot{p})
	}
	img := vgimg.New(20*vg.Centimeter, vg.Length(len(plots))*9*vg.Centimeter)
	canvases := plot.Align(column, draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter}, draw.New(img))
	for i, p := range plots {
		p.Draw(canvases[i][0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(f)
	return err
}

// marks puts the sizes on the axis.
type marks []int

// Ticks is called by the plot.
func (m marks) Ticks(_, _ float64) (out []plot.Tick) {
	for _, n := range m {
		out = append(out, plot.Tick{Value: float64(n), Label: fmt.Sprint(n)})
	}
	return out
}
