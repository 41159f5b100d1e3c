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
	text := `0.100 time="x" level=info msg="visit came" aim_us=1000 case=clip id=a late_worth=0.25 worth=2
0.100 time="x" level=info msg="visit sent" id=a trip=0 cache=1 held=false
0.102 time="x" level=info msg="visit trip ended" id=a trip=0 ending=delivered trace="past fresh"
0.102 time="x" level=info msg="visit answered" id=a answer=delivered after_us=2000
1.000 time="x" level=info msg="visit came" aim_us=1000 case=clip id=b late_worth=0.25 worth=2
1.000 time="x" level=info msg="visit answered" id=b answer=deferred after_us=1
2.900 time="x" level=info msg="visit came" aim_us=1000 case=form id=c late_worth=0 worth=3
2.900 time="x" level=info msg="visit sent" id=c trip=0 cache=1 held=false
2.901 time="x" level=info msg="visit trip ended" id=c trip=0 ending=refused trace=none
2.901 time="x" level=info msg="visit answered" id=c answer=scrapped after_us=1000
3.000 time="x" level=info msg="visit came" aim_us=1000 case=form id=d late_worth=0 worth=3
3.000 time="x" level=info msg="visit sent" id=d
3.000 time="x" level=info msg="visit tri`
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
	for end, want := range map[string]float64{"clip late": 1.5, "clip deferred, never sent": 2,
		"form scrapped after refused (none)": 3, "form no answer": 3} {
		if math.Abs(lost[end]-want) > 1e-9 {
			t.Errorf("%s: %v lost, not %v", end, lost[end], want)
		}
	}
	if line.Visits != 4 || math.Abs(line.Lost-0.95) > 1e-9 || line.Endings["2"]["refused (none)"] != 1 || len(line.Wrong) != 3 {
		t.Errorf("%+v", line)
	}
}
