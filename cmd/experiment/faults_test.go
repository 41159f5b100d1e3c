package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"threadrun/internal/clock"
	"threadrun/simulation/faults"
	"threadrun/simulation/system"
)

// A script without faults is an error. Without the check each seed would run the script drawn from it instead.
func TestScriptWithoutFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "empty.faults")
	if err := os.WriteFile(path, []byte("# seed 1\n\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	run := faultsRun{Seeds: "1", Routers: 3, Caches: 12, Script: path, JSON: true}
	if err := run.Run(); !errors.Is(err, errNoFault) {
		t.Errorf("run of a script without faults: error %v, want %v", err, errNoFault)
	}
}

// A flag that would have no effect, or that would mix the output of several seeds, is an error.
func TestFaultsFlags(t *testing.T) {
	for _, c := range []struct {
		run  faultsRun
		want error
	}{
		{faultsRun{Seeds: "1-2", Log: true}, errSeveralSeeds},
		{faultsRun{Seeds: "1-2", ScriptOut: "unused"}, errSeveralSeeds},
		{faultsRun{Seeds: "1", Requests: true}, errRequestsWithoutLog},
	} {
		if err := c.run.Run(); !errors.Is(err, c.want) {
			t.Errorf("%+v: error %v, want %v", c.run, err, c.want)
		}
	}
}

// A run with the script that --script-out has written gives the same history as the seed that drew the script.
func TestScriptOut(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seed-7.faults")
	var hashes [2]string
	for i, run := range []faultsRun{{ScriptOut: path}, {Script: path}} {
		run.Seeds, run.Routers, run.Caches, run.JSON = "7", 3, 12, true
		campaign, err := run.campaign(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		report, err := campaign.Run()
		if err != nil {
			t.Fatal(err)
		}
		hashes[i] = report.Hash
	}
	if hashes[0] != hashes[1] {
		t.Errorf("hashes of the histories differ: %v", hashes)
	}
}

// Faults and log entries are printed in one format, in the order of time. Log entries of requests are printed only
// if requests is set.
func TestFaultsLog(t *testing.T) {
	script, err := faults.Parse("1s cache-1 dies for 2s\n1s router-2 leaps for -0.5s\n2s router-1 leaves for 1s")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	log := &faultsLog{out: &out}
	for _, line := range script {
		log.Fault(line.At, line, true)
	}
	log.Fault(2*clock.Second, script[0], false)
	entry := system.LogEntry{
		At: 2500 * clock.Millisecond, Router: 1, Message: "endpoint ejected",
		Fields: map[string]any{"name": "cache-1", "error": errors.New("no route"), "for_ms": 300},
	}
	log.Entry(entry)
	entry.OfRequest = true
	log.Entry(entry)
	log.requests = true
	entry.Message = "request finished"
	entry.Fields = nil
	log.Entry(entry)
	log.End(4 * clock.Second)
	const want = `   1.000 script fault began line="1s cache-1 dies for 2s"
   1.000 script fault began line="1s router-2 leaps for -0.5s"
   1.500 script fault ended line="1s router-2 leaps for -0.5s"
   2.000 script fault began line="2s router-1 leaves for 1s"
   2.000 script fault skipped line="1s cache-1 dies for 2s"
   2.500 router-1 endpoint ejected error="no route" for_ms=300 name=cache-1
   2.500 router-1 request finished
   3.000 script fault ended line="1s cache-1 dies for 2s"
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// A run with a failed seed returns errViolated, and not the error for a missed bound.
func TestFaultsFailedSeed(t *testing.T) {
	run := faultsRun{JSON: true}
	if err := run.printResult(&system.Report{Failed: []system.Finding{{Seed: 1}}}); !errors.Is(err, errViolated) {
		t.Errorf("result with a failed seed: error %v, want %v", err, errViolated)
	}
	if err := run.printResult(&system.Report{}); err != nil {
		t.Errorf("result without a failed seed: error %v", err)
	}
}
