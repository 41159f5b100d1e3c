package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// backRun is the command 'experiment back'.
type backRun struct {
	Out   string   `default:"docs/coming-back.png" help:"The picture, PNG."`
	Lines []string `type:"existingfile" help:"Files with lines that 'experiment comeback --json' printed; else all sizes are played, which takes long."`
	Sizes []int    `default:"10,30,100,200,350" help:"Routers of the tier."`
	Loss  float64  `default:"0.1" help:"Share of datagrams lost, each way."`
	Seed  uint32   `default:"1" help:"The same seed gives the same picture."`
	Jobs  int      `default:"3" help:"Runs at a time."`
}

// Run is called by the command line.
func (r *backRun) Run() error {
	lines := make([]comebackLine, 0, len(r.Sizes))
	for _, path := range r.Lines {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var x comebackLine
		if err := json.Unmarshal(text, &x); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, x)
	}
	if len(lines) == 0 {
		lines = r.play()
	}
	r.Sizes = r.Sizes[:0]
	for _, x := range lines {
		r.Sizes = append(r.Sizes, x.Routers)
		fmt.Printf("%4d routers: known again %6d ms (without rows %6d), full service %6d ms (%6d), peaks %.2f %.2f (%.2f %.2f), %.1f datagrams a second\n",
			x.Routers, x.KnownMs.P50, x.KnownWithoutMs.P50, x.FullServiceMs.P50, x.WithoutMs.P50, x.PeakParent, x.PeakOrigin, x.PeakParentW,
			x.PeakOriginW, x.DatagramsPerSec)
	}
	return r.draw(lines)
}

func (r *backRun) play() []comebackLine {
	lines := make([]comebackLine, len(r.Sizes))
	jobs := make(chan int)
	var wait sync.WaitGroup
	for range max(r.Jobs, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range jobs {
				run := comebackRun{Routers: r.Sizes[i], KillShare: 0.7, Objects: 1000, Visits: 20, Restart: 3, Loss: r.Loss, Seconds: 100, Seed: r.Seed}
				lines[i] = run.line()
			}
		}()
	}
	for i := len(r.Sizes) - 1; i >= 0; i-- { // the long ones first
		jobs <- i
	}
	close(jobs)
	wait.Wait()
	return lines
}

// draw makes the picture: times above, peaks in the middle, datagrams below.
func (r *backRun) draw(lines []comebackLine) error {
	plots := []*plot.Plot{plot.New(), plot.New(), plot.New()}
	texts := [][2]string{{"Seven in ten routers killed at one moment: from the restart until", "seconds"},
		{"Most in one second over the rate before", ""}, {"Datagrams that a router sends", "a second"}}
	curves := [][]struct {
		name string
		y    func(x *comebackLine) float64
	}{
		{{"known again, with rows", func(x *comebackLine) float64 { return float64(x.KnownMs.P50) / 1000 }},
			{"known again, without", func(x *comebackLine) float64 { return float64(x.KnownWithoutMs.P50) / 1000 }},
			{"full service, with rows", func(x *comebackLine) float64 { return float64(x.FullServiceMs.P50) / 1000 }},
			{"full service, without", func(x *comebackLine) float64 { return float64(x.WithoutMs.P50) / 1000 }}},
		{{"fills at parents, with rows", func(x *comebackLine) float64 { return x.PeakParent }},
			{"fills at parents, without", func(x *comebackLine) float64 { return x.PeakParentW }},
			{"fetches at the origin, with rows", func(x *comebackLine) float64 { return x.PeakOrigin }},
			{"fetches at the origin, without", func(x *comebackLine) float64 { return x.PeakOriginW }}},
		{{"with rows", func(x *comebackLine) float64 { return x.DatagramsPerSec }}},
	}
	for i, p := range plots {
		p.Title.Text, p.Y.Label.Text, p.Y.Min = texts[i][0], texts[i][1], 0
		p.X.Label.Text = "routers"
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, marks(r.Sizes)
		p.Add(plotter.NewGrid())
		p.Legend.Top = true
		for j, c := range curves[i] {
			var xys plotter.XYs
			for k := range lines {
				xys = append(xys, plotter.XY{X: float64(lines[k].Routers), Y: c.y(&lines[k])})
			}
			for _, xy := range xys { // room for the legend
				p.Y.Max = max(p.Y.Max, xy.Y*1.4)
			}
			l, s, err := plotter.NewLinePoints(xys)
			if err != nil {
				return err
			}
			l.Color, s.Color, s.Shape = plotutil.Color(j), plotutil.Color(j), plotutil.Shape(j)
			most := p.Y.Max
			p.Add(l, s)
			p.Y.Max = most
			p.Legend.Add(c.name, l, s)
		}
	}
	return picture(r.Out, plots...)
}
