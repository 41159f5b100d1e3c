package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// lossLog is the log of a router that was killed while it wrote the last line.
const lossLog = `
0.100 HEAD msg="request arrived" latency_objective_us=1000 class=clip id=a late_weight=0.25 priority_weight=2
0.100 HEAD msg="request forwarded" id=a attempt=0 endpoint=1 only_if_cached=false
0.102 HEAD msg="request attempt ended" id=a attempt=0 outcome=succeeded cache_status=stale
0.102 HEAD msg="request finished" id=a outcome=answered after_us=2000
1.000 HEAD msg="request arrived" latency_objective_us=1000 class=clip id=b late_weight=0.25 priority_weight=2
1.000 HEAD msg="request finished" id=b outcome=rejected after_us=1
2.900 HEAD msg="request arrived" latency_objective_us=1000 class=form id=c late_weight=0 priority_weight=3
2.900 HEAD msg="request forwarded" id=c attempt=0 endpoint=1 only_if_cached=false
2.901 HEAD msg="request attempt ended" id=c attempt=0 outcome=rejected cache_status=unknown
2.901 HEAD msg="request finished" id=c outcome=failed after_us=1000
3.000 HEAD msg="request arrived" latency_objective_us=1000 class=form id=d late_weight=0 priority_weight=3
3.000 HEAD msg="request forwarded" id=d
3.000 HEAD msg="request att`

// Requests that are late, rejected, failed or never answered lose weight. The end of a failed request names the
// outcome of its last attempt.
func TestLoss(t *testing.T) {
	dir := t.TempDir()
	text := strings.ReplaceAll(lossLog, "HEAD", `time="x" level=info`)
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log := newRequestLog()
	if err := log.readFile(filepath.Join(dir, "n0.log")); err != nil {
		t.Fatal(err)
	}
	result := log.summarize(3, 1)
	lost := map[string]float64{}
	for _, r := range result.Groups {
		lost[r.Class+" "+r.End] += r.LostShare * 10 // the weights of all requests add up to 10
	}
	for end, want := range map[string]float64{"clip late": 1.5, "clip rejected, never sent": 2,
		"form failed after rejected (unknown)": 3, "form no answer": 3} {
		if math.Abs(lost[end]-want) > 1e-9 {
			t.Errorf("%s: %v lost, want %v", end, lost[end], want)
		}
	}
	if result.Requests != 4 || math.Abs(result.LostShare-0.95) > 1e-9 ||
		result.AttemptOutcomes["2"]["rejected (unknown)"] != 1 || len(result.Worst) != 3 {
		t.Errorf("unexpected result %+v", result)
	}
}
