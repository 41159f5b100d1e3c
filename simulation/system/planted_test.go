//go:build planted

package system

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"threadrun/internal/service"
	"threadrun/simulation/faults"
)

// keptText formats a script for testdata, with the failure and the seed in comments.
func keptText(seed uint64, kind string, s faults.Script) string {
	return fmt.Sprintf("# %s\n# seed %d\n%s", kind, seed, s)
}

// failpoints are the names of the failpoints by number. Each name tells which rule the failpoint breaks.
var failpoints = [...]string{1: "purge", 2: "drain", 3: "repeat"}

// Each failpoint makes one of the first 500 seeds fail, and the script of that seed shrinks to at most six lines.
// The scripts in testdata fail with their failpoint and pass without it; if THREADRUN_KEEP is set, they are
// overwritten with the shrunk ones first.
func TestPlantedFaultsAreFound(t *testing.T) {
	defer service.SetFailpoint(0)
	for number, name := range failpoints {
		if number == 0 {
			continue
		}
		service.SetFailpoint(number)
		campaign := Campaign{Jobs: 6, OperatorFile: OperatorFileOf, Plan: DefaultPlan(keyFile(t))}
		var first *Finding
		for from := uint64(1); from <= 500 && first == nil; from += 50 {
			campaign.FirstSeed, campaign.LastSeed = from, from+49
			report, err := campaign.Run()
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Failed) > 0 {
				first = &report.Failed[0]
			}
		}
		if first == nil {
			t.Errorf("%s: none of the first 500 seeds fails", name)
			continue
		}
		campaign.FirstSeed, campaign.LastSeed, campaign.Shrink = first.Seed, first.Seed, true
		report, err := campaign.Run()
		if err != nil || len(report.Failed) != 1 {
			t.Fatalf("%s: seed %d no longer fails when it is run again: %v", name, first.Seed, err)
		}
		shrunk, err := faults.Parse(report.Failed[0].Shrunk)
		if err != nil || len(shrunk) > 6 {
			t.Errorf("%s: %d lines left, %v:\n%s", name, len(shrunk), err, report.Failed[0].Shrunk)
		}
		t.Logf("%s: seed %d, %s, %d lines", name, first.Seed, first.Kind, len(shrunk))
		path := filepath.Join("testdata", "planted-"+name+".faults")
		if os.Getenv("THREADRUN_KEEP") != "" {
			if err := os.WriteFile(path, []byte(keptText(first.Seed, first.Kind, shrunk)), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		seed, kept := readScript(t, path)
		for _, enabled := range []bool{true, false} {
			service.SetFailpoint(number)
			if !enabled {
				service.SetFailpoint(0)
			}
			r, err := campaign.run(seed, kept)
			if err != nil || r.Failed() != enabled {
				t.Errorf("%s, failpoint enabled %v: result %v, error %v", name, enabled, r, err)
			}
		}
	}
}

// With Shrink, a finding describes the failure of the shrunk script. This guards against a finding that combines the
// shrunk script with the failure of the original one.
func TestPlantedShrunkScriptHasItsOwnHistory(t *testing.T) {
	defer service.SetFailpoint(0)
	const purgeFailpoint = 1
	service.SetFailpoint(purgeFailpoint)
	seed, _ := readScript(t, filepath.Join("testdata", "planted-"+failpoints[purgeFailpoint]+".faults"))
	campaign := Campaign{FirstSeed: seed, LastSeed: seed, Shrink: true, Plan: DefaultPlan(keyFile(t))}
	report, err := campaign.Run()
	if err != nil || len(report.Failed) != 1 {
		t.Fatalf("the seed of the script in testdata does not fail: %v, %+v", err, report)
	}
	finding := report.Failed[0]
	shrunk, err := faults.Parse(finding.Shrunk)
	if err != nil || finding.Shrunk == finding.Script {
		t.Fatalf("not shrunk: %v\n%s", err, finding.Shrunk)
	}
	result, err := campaign.run(seed, shrunk)
	if err != nil || !result.Failed() {
		t.Fatalf("the shrunk script passes: %v\n%s", err, finding.Shrunk)
	}
	if finding.Detail != result.detail() {
		t.Errorf("reported\n%s\nthe shrunk script's history is\n%s", finding.Detail, result.detail())
	}
}
