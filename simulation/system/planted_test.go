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

// keptText is a script as it is kept: a comment says what it failed with, and one the seed.
func keptText(seed uint64, kind string, s faults.Script) string {
	return fmt.Sprintf("# %s\n# seed %d\n%s", kind, seed, s)
}

// planted are the planted faults by their numbers, with the rule that each breaks.
var planted = [...]string{1: "purge", 2: "drain", 3: "repeat"}

// Each planted fault is found within 500 seeds, and cut down to six lines or fewer that fail with it and pass without. The short scripts that are
// kept do so too. With THREADRUN_KEEP set they are written anew.
func TestPlantedFaultsAreFound(t *testing.T) {
	defer service.SetFailpoint(0)
	for no, name := range planted {
		if no == 0 {
			continue
		}
		service.SetFailpoint(no)
		h := Campaign{Jobs: 6, OperatorFile: OperatorFileOf, Plan: DefaultPlan(key(t))}
		var first *Finding
		for from := uint64(1); from <= 500 && first == nil; from += 50 {
			h.FirstSeed, h.LastSeed = from, from+49
			rep, err := h.Run()
			if err != nil {
				t.Fatal(err)
			}
			if len(rep.Failed) > 0 {
				first = &rep.Failed[0]
			}
		}
		if first == nil {
			t.Errorf("%s: not found", name)
			continue
		}
		h.FirstSeed, h.LastSeed, h.Shrink = first.Seed, first.Seed, true
		rep, err := h.Run()
		if err != nil || len(rep.Failed) != 1 {
			t.Fatalf("%s: seed %d fails no more: %v", name, first.Seed, err)
		}
		short, err := faults.Parse(rep.Failed[0].Shrunk)
		if err != nil || len(short) > 6 {
			t.Errorf("%s: %d lines left, %v:\n%s", name, len(short), err, rep.Failed[0].Shrunk)
		}
		t.Logf("%s: seed %d, %s, %d lines", name, first.Seed, first.Kind, len(short))
		path := filepath.Join("testdata", "planted-"+name+".faults")
		if os.Getenv("THREADRUN_KEEP") != "" {
			if err := os.WriteFile(path, []byte(keptText(first.Seed, first.Kind, short)), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		seed, kept := readKept(t, path)
		for _, on := range []bool{true, false} {
			service.SetFailpoint(no)
			if !on {
				service.SetFailpoint(0)
			}
			r, err := h.run(seed, kept)
			if err != nil || r.Failed() != on {
				t.Errorf("%s, planted %v: %v, %v", name, on, r, err)
			}
		}
	}
}
