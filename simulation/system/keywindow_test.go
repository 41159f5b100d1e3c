package system

import (
	"fmt"
	"strings"
	"testing"

	"threadrun/simulation/faults"
)

// resetsAndSlowConnects returns a script that throttles the links from all routers to all caches, which delays
// connects and writes, and resets the connections on these links again and again, also under requests.
func resetsAndSlowConnects() string {
	var b strings.Builder
	b.WriteString(slowConnects())
	for router := range 3 {
		for cache := range 12 {
			for at := 9; at < 19; at++ {
				fmt.Fprintf(&b, "%d.05s way router-%d cache-%d reset used x8\n", at, router, cache)
				fmt.Fprintf(&b, "%d.45s way router-%d cache-%d reset used x8\n", at, router, cache)
			}
		}
	}
	return b.String()
}

// Guards against a second effect: a keyed request that may have run is sent again after its key window, because its
// retry waited until the connection to the cache was established or had room.
func TestKeyWindowWhileConnectionsAreSlow(t *testing.T) {
	if raceEnabled {
		t.Skip("run without the race detector")
	}
	script, err := faults.Parse(resetsAndSlowConnects())
	if err != nil {
		t.Fatal(err)
	}
	campaign := Campaign{FirstSeed: 1, LastSeed: 20, Jobs: 6, Script: script, Plan: DefaultPlan(keyFile(t))}
	campaign.Plan.KeyWindow = 200 * ms // shorter than the connect timeout of 300 ms
	report, err := campaign.Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range report.Failed {
		t.Errorf("seed %d: %s", f.Seed, f.Detail)
	}
	if report.Requests < 300*report.Seeds {
		t.Errorf("%d requests in %d seeds, want at least 300 for each", report.Requests, report.Seeds)
	}
}
