package main

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

// Worth is lost by visits that are late, turned away or never answered, each told apart by how its last trip ended.
func TestLoss(t *testing.T) {
	dir := t.TempDir()
	text := `0.100 time="x" level=info msg="request arrived" latency_objective_us=1000 class=clip id=a late_weight=0.25 priority_weight=2
0.100 time="x" level=info msg="request forwarded" id=a attempt=0 endpoint=1 only_if_cached=false
0.102 time="x" level=info msg="request attempt ended" id=a attempt=0 outcome=succeeded cache_status=stale
0.102 time="x" level=info msg="request finished" id=a outcome=answered after_us=2000
1.000 time="x" level=info msg="request arrived" latency_objective_us=1000 class=clip id=b late_weight=0.25 priority_weight=2
1.000 time="x" level=info msg="request finished" id=b outcome=rejected after_us=1
2.900 time="x" level=info msg="request arrived" latency_objective_us=1000 class=form id=c late_weight=0 priority_weight=3
2.900 time="x" level=info msg="request forwarded" id=c attempt=0 endpoint=1 only_if_cached=false
2.901 time="x" level=info msg="request attempt ended" id=c attempt=0 outcome=rejected cache_status=unknown
2.901 time="x" level=info msg="request finished" id=c outcome=failed after_us=1000
3.000 time="x" level=info msg="request arrived" latency_objective_us=1000 class=form id=d late_weight=0 priority_weight=3
3.000 time="x" level=info msg="request forwarded" id=d
3.000 time="x" level=info msg="request att`
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	day := lossDay{visits: map[string]*visitStory{}}
	if err := day.read(filepath.Join(dir, "n0.log"), ""); err != nil {
		t.Fatal(err)
	}
	line := day.sum(3, 1)
	lost := map[string]float64{}
	for _, r := range line.Rows {
		lost[r.UseCase+" "+r.End] += r.Lost * 10 // of ten points of worth
	}
	for end, want := range map[string]float64{"clip late": 1.5, "clip rejected, never sent": 2,
		"form failed after rejected (unknown)": 3, "form no answer": 3} {
		if math.Abs(lost[end]-want) > 1e-9 {
			t.Errorf("%s: %v lost, not %v", end, lost[end], want)
		}
	}
	if line.Visits != 4 || math.Abs(line.Lost-0.95) > 1e-9 || line.Endings["2"]["rejected (unknown)"] != 1 || len(line.Wrong) != 3 {
		t.Errorf("%+v", line)
	}
}
