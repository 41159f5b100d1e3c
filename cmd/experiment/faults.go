package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"threadrun/simulation/faults"
	"threadrun/simulation/system"
)

// faultsRun is the experiment 'faults': whole deployments under fault scripts, checked against the invariants.
type faultsRun struct {
	Seeds   string  `default:"1-100" help:"Seeds to run: A-B, or one seed."`
	Script  string  `help:"A script that each seed runs in place of its own." type:"existingfile" optional:""`
	Shrink  bool    `help:"Shrink each failing script."`
	Search  bool    `help:"Keep scripts that reach new situations, and mutate them."`
	Settle  float64 `help:"Time for which requests continue after the 30 s of the script, in seconds."`
	Routers int     `default:"3" help:"Routers of a deployment."`
	Caches  int     `default:"12" help:"Caches of a deployment."`
	Jobs    int     `help:"Deployments run at a time; 0: one for each processor."`
	Keep    string  `help:"Directory in which to keep the scripts that failed, shrunk with --shrink." optional:""`
	Plot    string  `help:"File for a plot of the faults that began within one second." optional:""`
	Table   bool    `help:"Print a table of the faults that began within one second."`
	Log     bool    `help:"Print the routers' log lines with their virtual time; for one seed."`
	JSON    bool    `name:"json" help:"Print only the line of JSON."`
}

// Run is called by the command line.
func (r *faultsRun) Run() error {
	var result *system.Report
	err := withTempDir("faults", func(dir string) error {
		campaign, err := r.campaign(dir)
		if err != nil {
			return err
		}
		result, err = campaign.Run()
		return err
	})
	if err != nil {
		return err
	}
	if !r.JSON {
		fmt.Fprintln(os.Stderr) // ends the progress line
	}
	if r.Plot != "" {
		if err := plotPairs(result, r.Plot); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	return report(r.JSON, r.text(result), result, len(result.Failed) > 0)
}

// campaign builds the campaign that the flags describe.
func (r *faultsRun) campaign(dir string) (*system.Campaign, error) {
	first, last, err := parseSeeds(r.Seeds)
	if err != nil {
		return nil, err
	}
	keyFile, err := writePeerKey(dir)
	if err != nil {
		return nil, fmt.Errorf("write the peer key: %w", err)
	}
	if r.Jobs == 0 {
		r.Jobs = runtime.NumCPU()
	}
	c := &system.Campaign{
		FirstSeed: first,
		LastSeed:  last,
		Jobs:      r.Jobs,
		Search:    r.Search,
		Shrink:    r.Shrink,
		Plan:      system.DefaultPlan(keyFile),
		OnFailure: r.reportFailure,
	}
	if r.Log {
		c.Jobs = 1
		c.Plan.OnLog = func(at system.Micros, router int, line string, fields map[string]any) {
			fmt.Printf("%8.3f router-%d %s %v\n", at.Seconds(), router, line, fields)
		}
	}
	c.Plan.Settle = system.Micros(r.Settle * 1e6)
	c.Plan.Routers = r.Routers
	c.Plan.Caches = r.Caches
	if r.Script != "" {
		c.Script, err = readScript(r.Script)
		if err != nil {
			return nil, err
		}
	}
	if !r.JSON {
		c.OnProgress = func(done, failed int) {
			fmt.Fprintf(os.Stderr, "\r%d of %d seeds, %d failed", done, last-first+1, failed)
		}
	}
	return c, nil
}

// writePeerKey writes the key by which the simulated routers authenticate their datagrams.
func writePeerKey(dir string) (string, error) {
	path := filepath.Join(dir, "peers.key")
	return path, os.WriteFile(path, []byte(strings.Repeat("5a", 32)+"\n"), 0o600)
}

func readScript(path string) (faults.Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	script, err := faults.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return script, nil
}

func (r *faultsRun) text(result *system.Report) string {
	text := ""
	if r.Table {
		text = pairTable(result)
	}
	text += fmt.Sprintf("%d seeds, %.0f virtual s in %.1f s: %d failed, %d requests, %d situations, ",
		result.Seeds, result.VirtualSeconds, result.WallSeconds, len(result.Failed), result.Requests,
		result.Coverage.Situations)
	return text + fmt.Sprintf("a drain, a purge and a slow origin within one second in %.3f of the scripts\n",
		result.DrainPurgeSlowOriginShare)
}

// reportFailure prints a failure and keeps its script.
func (r *faultsRun) reportFailure(f system.Finding) {
	script := f.Script
	if f.Shrunk != "" {
		script = f.Shrunk
	}
	if !r.JSON {
		fmt.Printf("\nseed %d, clustered %v: %s\n%s\n%s", f.Seed, f.Clustered, f.Kind, f.Detail, script)
	}
	if r.Keep == "" {
		return
	}
	path := filepath.Join(r.Keep, fmt.Sprintf("seed-%d.faults", f.Seed))
	text := fmt.Sprintf("# %s\n# seed %d\n%s", f.Kind, f.Seed, script)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "experiment: keep the script:", err)
	}
}

// parseSeeds reads A-B, or one seed.
func parseSeeds(s string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(s, "-")
	first, err = strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", s, err)
	}
	if !isRange {
		return first, first, nil
	}
	last, err = strconv.ParseUint(to, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", s, err)
	}
	if last < first {
		return 0, 0, fmt.Errorf("seeds %q: the last is below the first", s)
	}
	return first, last, nil
}
