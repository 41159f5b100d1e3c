package main

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"threadrun/simulation/faults"
	"threadrun/simulation/system"
)

// faultsRun is the command 'experiment faults'.
type faultsRun struct {
	Seeds   string  `default:"1-100" help:"Seeds to play, as A-B, or one."`
	Script  string  `help:"A file with a script that each seed plays, in place of one of its own." type:"existingfile" optional:""`
	Shrink  bool    `help:"Cut each failing script down to a short one."`
	Search  bool    `help:"Keep scripts that reach new situations, and change them further."`
	Calm    float64 `help:"Seconds that visits go on beyond the 30 of the script, to see that all comes back."`
	Routers int     `default:"3" help:"Routers of a deployment."`
	Caches  int     `default:"12" help:"Its caches."`
	Jobs    int     `help:"Deployments played at a time; 0: as many as there are processors."`
	Keep    string  `help:"A folder for the scripts that failed, short ones where they were cut down." optional:""`
	Plot    string  `help:"A file for a plot of what met what." optional:""`
	Table   bool    `help:"Print the table of what met what."`
	Log     bool    `help:"Print the routers' log lines, with the script's time; for one seed."`
	JSON    bool    `name:"json" help:"Print the line of JSON alone."`
}

// Run is called by the command line.
func (r *faultsRun) Run() error {
	from, to, err := seeds(r.Seeds)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "experiment-faults")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	key := filepath.Join(dir, "peers.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		return err
	}
	if r.Jobs == 0 {
		r.Jobs = runtime.NumCPU()
	}
	h := &system.Campaign{FirstSeed: from, LastSeed: to, Jobs: r.Jobs, Search: r.Search, Shrink: r.Shrink, Plan: system.DefaultPlan(key)}
	if r.Log {
		h.Jobs = 1
		h.Plan.OnLog = func(at system.Micros, router int, line string, fields map[string]any) {
			fmt.Printf("%8.3f router-%d %s %v\n", at.Seconds(), router, line, fields)
		}
	}
	h.Plan.Settle = system.Micros(r.Calm * 1e6)
	h.Plan.Routers, h.Plan.Caches = r.Routers, r.Caches
	if r.Script != "" {
		text, err := os.ReadFile(r.Script)
		if err != nil {
			return err
		}
		if h.Script, err = faults.Parse(string(text)); err != nil {
			return err
		}
	}
	if !r.JSON {
		h.OnProgress = func(played, failed int) {
			fmt.Fprintf(os.Stderr, "\r%d of %d seeds, %d failed", played, to-from+1, failed)
		}
	}
	h.OnFailure = r.found
	rep, err := h.Run()
	if err != nil {
		return err
	}
	if !r.JSON {
		fmt.Fprintln(os.Stderr)
	}
	if r.Plot != "" {
		if err := plotMeetings(rep, r.Plot); err != nil {
			return err
		}
	}
	lines := ""
	if r.Table {
		lines = meetings(rep)
	}
	lines += fmt.Sprintf("%d seeds, %.0f virtual s in %.1f s: %d failed, %d visits, %d situations, a drain, a purge and a slow origin together in %.3f of the scripts\n",
		rep.Seeds, rep.VirtualSeconds, rep.WallSeconds, len(rep.Failed), rep.Requests, rep.Coverage.Situations, rep.DrainPurgeSlowOriginShare)
	if err := report(r.JSON, lines, rep); err != nil {
		return err
	}
	if len(rep.Failed) > 0 {
		return errMissed
	}
	return nil
}

// found prints a failure, and keeps its script.
func (r *faultsRun) found(f system.Finding) {
	script := f.Script
	if f.Shrunk != "" {
		script = f.Shrunk
	}
	if !r.JSON {
		fmt.Printf("\nseed %d, tier %v: %s\n%s\n%s", f.Seed, f.Clustered, f.Kind, f.Detail, script)
	}
	if r.Keep != "" {
		path := filepath.Join(r.Keep, fmt.Sprintf("seed-%d.faults", f.Seed))
		text := fmt.Sprintf("# %s\n# seed %d\n%s", f.Kind, f.Seed, script)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
		}
	}
}

func seeds(s string) (from, to uint64, err error) {
	a, b, two := strings.Cut(s, "-")
	if from, err = strconv.ParseUint(a, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", s, err)
	}
	if to = from; two {
		if to, err = strconv.ParseUint(b, 10, 64); err != nil || to < from {
			return 0, 0, fmt.Errorf("seeds %q: not from one up to another", s)
		}
	}
	return from, to, nil
}

// kinds are those that met any other, in order.
func kinds(rep *system.Report) []string {
	var all []string
	for pair := range rep.Pairs {
		a, b, _ := strings.Cut(pair, "+")
		for _, k := range [...]string{a, b} {
			if i, ok := slices.BinarySearch(all, k); !ok {
				all = slices.Insert(all, i, k)
			}
		}
	}
	return all
}

func met(rep *system.Report, a, b string) int {
	if b < a {
		a, b = b, a
	}
	return rep.Pairs[a+"+"+b]
}

// meetings is a table of what met what: in how many scripts two kinds began within one second.
func meetings(rep *system.Report) string {
	all := kinds(rep)
	var b strings.Builder
	for i, k := range all {
		fmt.Fprintf(&b, "%-18s", k)
		for _, o := range all[:i] {
			fmt.Fprintf(&b, "%4d", met(rep, k, o))
		}
		fmt.Fprintf(&b, "   .\n")
	}
	return b.String()
}

// grid is the table as a plot has it.
type grid struct {
	rep *system.Report
	all []string
}

func (g grid) Dims() (c, r int)   { return len(g.all), len(g.all) }
func (g grid) X(c int) float64    { return float64(c) }
func (g grid) Y(r int) float64    { return float64(r) }
func (g grid) Z(c, r int) float64 { return math.Log1p(float64(met(g.rep, g.all[c], g.all[r]))) }

// pale has what never met be white.
type pale struct{ palette.Palette }

// Colors are those of the palette, the last first.
func (p pale) Colors() []color.Color {
	all := slices.Clone(p.Palette.Colors())
	slices.Reverse(all)
	return all
}

func plotMeetings(rep *system.Report, path string) error {
	g := grid{rep, kinds(rep)}
	if len(g.all) < 2 {
		return fmt.Errorf("too few kinds of faults for a plot")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("What began within one second of what, in %d scripts (colour: logarithm of the count)", rep.Seeds)
	ticks := make([]plot.Tick, len(g.all))
	for i, k := range g.all {
		ticks[i] = plot.Tick{Value: float64(i), Label: k}
	}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.ConstantTicks(ticks), plot.ConstantTicks(ticks)
	p.X.Tick.Label.Rotation = math.Pi / 2
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	h := plotter.NewHeatMap(g, pale{palette.Heat(64, 1)})
	p.Add(h)
	return p.Save(10*vg.Inch, 10*vg.Inch, path)
}
