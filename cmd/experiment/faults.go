package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"threadrun/simulation/faults"
	"threadrun/simulation/system"
)

var (
	// errViolated is returned by a run that completed but had seeds that failed.
	errViolated = errors.New("an invariant or a protocol was violated")

	errSeveralSeeds       = errors.New("--log and --script-out need a single seed: give --seeds N")
	errRequestsWithoutLog = errors.New("--requests has no effect without --log")
	errNoFault            = errors.New("the script contains no faults")
)

// faultsRun is the experiment 'faults': simulated deployments run fault scripts, and the invariants are checked.
type faultsRun struct {
	Seeds     string  `default:"1-100" help:"Seeds to run: A-B, or one seed."`
	Script    string  `help:"Fault script that each seed runs in place of a drawn one." type:"existingfile" optional:""`
	ScriptOut string  `help:"File to which to write the script of the seed; needs a single seed." optional:""`
	Shrink    bool    `help:"Shrink each failing script to fewer faults that still fail."`
	Search    bool    `help:"Keep scripts that reach new situations, and run mutations of them."`
	Settle    float64 `help:"Time for which requests continue after the 30 s of the script, in seconds."`
	Routers   int     `default:"3" help:"Number of routers in a deployment."`
	Caches    int     `default:"12" help:"Number of caches in a deployment."`
	Jobs      int     `help:"Number of deployments simulated at a time; 0: one for each processor."`
	Keep      string  `help:"Directory in which to keep failing scripts, shrunk with --shrink." optional:""`
	Plot      string  `help:"File for a heat map of the pairs of faults that began within one second." optional:""`
	Table     bool    `help:"Print a table of the pairs of faults that began within one second."`
	Log       bool    `help:"Print the script, its faults and the routers' log lines; needs a single seed."`
	Requests  bool    `help:"With --log: also print the log lines of requests."`
	JSON      bool    `name:"json" help:"Print only the result, as one line of JSON."`
}

// Run runs the experiment. It is called by the command line.
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
	return r.printResult(result)
}

// printResult prints the result. It returns errViolated if a seed failed.
func (r *faultsRun) printResult(result *system.Report) error {
	if err := report(r.JSON, r.summary(result), result, false); err != nil {
		return err
	}
	if len(result.Failed) > 0 {
		return errViolated
	}
	return nil
}

// campaign builds the campaign that the flags describe. It also writes and prints the script if the flags ask for
// it. The peer key is written to dir.
func (r *faultsRun) campaign(dir string) (*system.Campaign, error) {
	first, last, err := parseSeeds(r.Seeds)
	if err != nil {
		return nil, err
	}
	if err := r.checkFlags(first == last); err != nil {
		return nil, err
	}
	keyFile, err := writePeerKey(dir)
	if err != nil {
		return nil, fmt.Errorf("write the peer key: %w", err)
	}
	c := &system.Campaign{
		FirstSeed: first,
		LastSeed:  last,
		Jobs:      r.Jobs,
		Search:    r.Search,
		Shrink:    r.Shrink,
		Plan:      r.plan(keyFile),
		OnFailure: r.reportFailure,
	}
	if c.Jobs == 0 {
		c.Jobs = runtime.NumCPU()
	}
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
	return c, r.showScript(c)
}

// checkFlags returns an error for a combination of flags that is not permitted.
func (r *faultsRun) checkFlags(oneSeed bool) error {
	switch {
	case !oneSeed && (r.Log || r.ScriptOut != ""):
		return errSeveralSeeds
	case r.Requests && !r.Log:
		return errRequestsWithoutLog
	}
	return nil
}

// plan returns the deployment that the flags describe.
func (r *faultsRun) plan(keyFile string) system.Plan {
	plan := system.DefaultPlan(keyFile)
	plan.Settle = system.Micros(r.Settle * 1e6)
	plan.Routers = r.Routers
	plan.Caches = r.Caches
	return plan
}

// showScript writes the script of the only seed to a file if --script-out is given. With --log it prints the
// script and makes the campaign print the log of the run.
func (r *faultsRun) showScript(c *system.Campaign) error {
	if r.ScriptOut == "" && !r.Log {
		return nil
	}
	text := fmt.Sprintf("# seed %d\n%s", c.FirstSeed, c.FirstScript())
	if r.Log {
		log := &faultsLog{out: os.Stdout, requests: r.Requests}
		log.printScript(text)
		c.Plan.Log = log
	}
	if r.ScriptOut == "" {
		return nil
	}
	if err := os.WriteFile(r.ScriptOut, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write the script: %w", err)
	}
	return nil
}

// writePeerKey writes the key with which the simulated routers authenticate their datagrams.
func writePeerKey(dir string) (string, error) {
	path := filepath.Join(dir, "peers.key")
	return path, os.WriteFile(path, []byte(strings.Repeat("5a", 32)+"\n"), 0o600)
}

// readScript reads a fault script from a file. It returns an error if the script contains no faults.
func readScript(path string) (faults.Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	script, err := faults.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(script) == 0 {
		return nil, fmt.Errorf("%s: %w", path, errNoFault)
	}
	return script, nil
}

func (r *faultsRun) summary(result *system.Report) string {
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

// reportFailure prints a failure, and writes its script to the directory given by --keep.
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
		fmt.Fprintln(os.Stderr, "experiment: write the failing script:", err)
	}
}

// parseSeeds parses a range of seeds A-B, or a single seed.
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
		return 0, 0, fmt.Errorf("seeds %q: the last seed is below the first", s)
	}
	return first, last, nil
}
