package main

import (
	"bufio"
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"

	"threadrun/routing"
)

// lossRun is the command 'experiment loss': it takes apart what a play with "trace": {"visits": true} lost.
type lossRun struct {
	Dir   string  `arg:"" type:"existingdir" help:"Folder of the routers' logs, one file each."`
	Parts int     `default:"3" help:"Parts of the day, of equal length."`
	Visit string  `help:"Print the lines of one visit, by its id, from all logs, and no more."`
	Worst int     `default:"0" help:"Name so many visits that ended wrong in each part."`
	Most  float64 `default:"1" help:"The largest share of worth that may be lost."`
	JSON  bool    `help:"Only the line of JSON."`
}

// visitStory is what the logs say of one visit.
type visitStory struct {
	id, useCase, answer  string
	at                   float64 // seconds of the day
	worth, late          float64
	aim, after           int64 // microseconds
	trips, refused, held int
	last                 string // how the last trip ended
}

// lossRow sums visits of one use case that came in one part of the day and ended in one way.
type lossRow struct {
	Part    int     `json:"part"`
	UseCase string  `json:"use_case"`
	End     string  `json:"end"`
	Visits  int     `json:"visits"`
	Trips   int     `json:"trips"`
	Lost    float64 `json:"lost"` // share of the day's worth
}

type lossLine struct {
	Visits  int                       `json:"visits"`
	Trips   int                       `json:"trips"`
	Lost    float64                   `json:"lost"`
	Rows    []lossRow                 `json:"rows"`
	Endings map[string]map[string]int `json:"endings"` // of trips: ending and trace, by part
	Wrong   []string                  `json:"wrong,omitempty"`
}

// Run reads the logs and reports.
func (r *lossRun) Run() error {
	files, err := filepath.Glob(filepath.Join(r.Dir, "*.log"))
	if err != nil {
		return err
	}
	day := lossDay{visits: map[string]*visitStory{}}
	for _, f := range files {
		if err := day.read(f, r.Visit); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
	}
	if r.Visit != "" {
		fmt.Print(strings.Join(day.lines, ""))
		return nil
	}
	line := day.sum(r.Parts, r.Worst)
	if err := report(r.JSON, line.text(), line); err != nil {
		return err
	}
	if line.Lost > r.Most {
		return errMissed
	}
	return nil
}

type lossDay struct {
	visits map[string]*visitStory // by file and id
	ends   []tripEnd
	lines  []string
}

type tripEnd struct {
	at   float64
	what string
}

// read takes one router's log. The bench puts the second of the day before each line; without it all is one part.
func (d *lossDay) read(path, only string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		text := in.Text()
		if !strings.Contains(text, `msg="request `) || only != "" && !strings.Contains(text, "id="+only) {
			continue
		}
		if only != "" {
			d.lines = append(d.lines, filepath.Base(path)+" "+text+"\n")
			continue
		}
		first, _, _ := strings.Cut(text, " ")
		at, _ := strconv.ParseFloat(first, 64)
		words := map[string]string{}
		line := logfmt.NewDecoder(strings.NewReader(text))
		for line.ScanRecord() {
			for line.ScanKeyval() {
				words[string(line.Key())] = string(line.Value())
			}
		}
		if line.Err() == nil { // a killed router may leave a torn line
			d.take(path, at, words)
		}
	}
	return in.Err()
}

func (d *lossDay) take(path string, at float64, w map[string]string) {
	whole := func(key string) int64 { n, _ := strconv.ParseInt(w[key], 10, 64); return n }
	number := func(key string) float64 { x, _ := strconv.ParseFloat(w[key], 64); return x }
	key := path + w["id"]
	v := d.visits[key]
	if w["msg"] == "request arrived" {
		d.visits[key] = &visitStory{id: w["id"], useCase: w["class"], at: at, worth: number("priority_weight"), late: number("late_weight"),
			aim: whole("latency_objective_us")}
		return
	} else if v == nil {
		return
	}
	switch w["msg"] {
	case "request forwarded":
		v.trips++
		if w["only_if_cached"] == "true" {
			v.held++
		}
	case "request attempt ended":
		v.last = w["outcome"] + " (" + w["cache_status"] + ")"
		if w["outcome"] == routing.Rejected.String() {
			v.refused++
		}
		d.ends = append(d.ends, tripEnd{at, v.last})
	case "request finished":
		v.answer, v.after = w["outcome"], whole("after_us")
	}
}

// end names how a visit ended, and what of its worth was lost.
func (v *visitStory) end() (string, float64) {
	switch {
	case v.answer == "answered" && v.after <= v.aim:
		return "in time", 0
	case v.answer == "answered":
		return "late", v.worth * (1 - v.late)
	case v.answer == "":
		return "no answer", v.worth
	case v.trips == 0:
		return v.answer + ", never sent", v.worth
	}
	return v.answer + " after " + v.last, v.worth
}

func (d *lossDay) sum(parts, worst int) *lossLine {
	line := &lossLine{Endings: map[string]map[string]int{}}
	length, worth := 0.001, 0.0
	for _, v := range d.visits {
		length, worth = max(length, v.at), worth+v.worth
	}
	part := func(at float64) int { return min(int(at/length*float64(parts)), parts-1) }
	rows, wrong := map[[3]string]*lossRow{}, map[int]int{}
	for _, key := range slices.Sorted(maps.Keys(d.visits)) {
		v := d.visits[key]
		end, lost := v.end()
		p := part(v.at)
		k := [3]string{strconv.Itoa(p), v.useCase, end}
		if rows[k] == nil {
			rows[k] = &lossRow{Part: p, UseCase: v.useCase, End: end}
		}
		rows[k].Visits++
		rows[k].Trips += v.trips
		rows[k].Lost += lost / max(worth, 1e-9)
		line.Visits++
		line.Trips += v.trips
		line.Lost += lost / max(worth, 1e-9)
		if lost > 0 && wrong[p] < worst {
			wrong[p]++
			line.Wrong = append(line.Wrong, fmt.Sprintf("%.3f %s %s: %s", v.at, v.id, v.useCase, end))
		}
	}
	for _, r := range rows {
		line.Rows = append(line.Rows, *r)
	}
	slices.SortFunc(line.Rows, func(a, b lossRow) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Part, b.Part), cmp.Compare(a.UseCase+a.End, b.UseCase+b.End))
	})
	for _, e := range d.ends {
		p := strconv.Itoa(part(e.at))
		if line.Endings[p] == nil {
			line.Endings[p] = map[string]int{}
		}
		line.Endings[p][e.what]++
	}
	return line
}

func (l *lossLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d visits, %.2f trips each, %.3f of the worth lost\n", l.Visits,
		float64(l.Trips)/float64(max(l.Visits, 1)), l.Lost)
	for _, r := range l.Rows {
		if r.Lost > 0.001 || r.End == "in time" {
			fmt.Fprintf(&b, "part %d  %-14s %-44s %6d visits %5.2f trips  %.4f lost\n", r.Part, r.UseCase, r.End, r.Visits,
				float64(r.Trips)/float64(r.Visits), r.Lost)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(l.Endings)) {
		fmt.Fprintf(&b, "trips' ends in part %s: %v\n", p, l.Endings[p])
	}
	for _, w := range l.Wrong {
		fmt.Fprintln(&b, w)
	}
	return b.String()
}
