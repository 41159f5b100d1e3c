package main

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// lossRun is the experiment 'loss': which requests a run lost, by class and outcome. The routers of the run log each
// step of a request, as the operator's file has it with "trace": {"visits": true}.
type lossRun struct {
	Dir          string  `arg:"" type:"existingdir" help:"Directory of the routers' logs, one file each."`
	Parts        int     `default:"3" help:"Parts of the run, of equal length."`
	Request      string  `help:"Print only the lines of the request with this id, from all logs."`
	Worst        int     `default:"0" help:"Requests that lost weight, named in each part."`
	MaxLostShare float64 `default:"1" help:"Bound on the share of the priority weight that is lost."`
	JSON         bool    `name:"json" help:"Print only the line of JSON."`
}

// lossGroup sums the requests of one class that arrived in one part of the run and ended in one way.
type lossGroup struct {
	Part      int     `json:"part"`
	Class     string  `json:"class"`
	End       string  `json:"end"`
	Requests  int     `json:"requests"`
	Attempts  int     `json:"attempts"`
	LostShare float64 `json:"lost_share"` // of the weight of all requests
}

type lossResult struct {
	Requests        int                       `json:"requests"`
	Attempts        int                       `json:"attempts"`
	LostShare       float64                   `json:"lost_share"`
	Groups          []lossGroup               `json:"groups"`
	AttemptOutcomes map[string]map[string]int `json:"attempt_outcomes"` // counts by part, and by outcome with cache status
	Worst           []string                  `json:"worst,omitempty"`
}

// Run is called by the command line.
func (r *lossRun) Run() error {
	files, err := filepath.Glob(filepath.Join(r.Dir, "*.log"))
	if err != nil {
		return err
	}
	if r.Request != "" {
		return printRequest(files, r.Request)
	}
	log := newRequestLog()
	for _, file := range files {
		if err := log.read(file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	result := log.sum(r.Parts, r.Worst)
	return report(r.JSON, result.text(), result, result.LostShare > r.MaxLostShare)
}

// minSum keeps shares of an empty run from being divided by zero.
const minSum = 1e-9

// sum sums a run. Of each part it names up to worst requests that lost weight.
func (l *requestLog) sum(parts, worst int) *lossResult {
	result := &lossResult{AttemptOutcomes: map[string]map[string]int{}}
	ids := slices.Sorted(maps.Keys(l.requests))
	length, weight := l.totals(ids)
	partOf := func(seconds float64) int { return min(int(seconds/length*float64(parts)), parts-1) }
	groups := map[lossGroup]*lossGroup{}
	named := map[int]int{}
	for _, id := range ids {
		request := l.requests[id]
		end, lost := request.end()
		part := partOf(request.arrivedAt)
		key := lossGroup{Part: part, Class: request.class, End: end}
		if groups[key] == nil {
			group := key
			groups[key] = &group
		}
		lostShare := lost / max(weight, minSum)
		groups[key].add(request, lostShare)
		result.Requests++
		result.Attempts += request.attempts
		result.LostShare += lostShare
		if lost > 0 && named[part] < worst {
			named[part]++
			line := fmt.Sprintf("%.3f %s %s: %s", request.arrivedAt, request.id, request.class, end)
			result.Worst = append(result.Worst, line)
		}
	}
	result.Groups = sortGroups(groups)
	for _, attempt := range l.attempts {
		result.countOutcome(strconv.Itoa(partOf(attempt.endedAt)), attempt.outcome)
	}
	return result
}

// totals gives the length of a run in seconds and the sum of its requests' weights.
func (l *requestLog) totals(ids []string) (length, weight float64) {
	length = 0.001
	for _, id := range ids {
		length = max(length, l.requests[id].arrivedAt)
		weight += l.requests[id].priorityWeight
	}
	return length, weight
}

func (r *lossGroup) add(request *requestHistory, lostShare float64) {
	r.Requests++
	r.Attempts += request.attempts
	r.LostShare += lostShare
}

// sortGroups orders groups by what they lost, the most first.
func sortGroups(groups map[lossGroup]*lossGroup) []lossGroup {
	var sorted []lossGroup
	for _, group := range groups {
		sorted = append(sorted, *group)
	}
	slices.SortFunc(sorted, func(a, b lossGroup) int {
		return cmp.Or(
			cmp.Compare(b.LostShare, a.LostShare),
			cmp.Compare(a.Part, b.Part),
			cmp.Compare(a.Class+a.End, b.Class+b.End),
		)
	})
	return sorted
}

func (l *lossResult) countOutcome(part, outcome string) {
	if l.AttemptOutcomes[part] == nil {
		l.AttemptOutcomes[part] = map[string]int{}
	}
	l.AttemptOutcomes[part][outcome]++
}

// minShownShare leaves out groups that lost next to nothing.
const minShownShare = 0.001

func (l *lossResult) text() string {
	var b strings.Builder
	attemptsEach := float64(l.Attempts) / float64(max(l.Requests, 1))
	fmt.Fprintf(&b, "%d requests, %.2f attempts each, %.3f of the weight lost\n", l.Requests, attemptsEach, l.LostShare)
	for _, r := range l.Groups {
		if r.LostShare > minShownShare || r.End == endInTime {
			fmt.Fprintf(&b, "part %d  %-14s %-44s %6d requests %5.2f attempts  %.4f lost\n",
				r.Part, r.Class, r.End, r.Requests, float64(r.Attempts)/float64(r.Requests), r.LostShare)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(l.AttemptOutcomes)) {
		fmt.Fprintf(&b, "attempt outcomes in part %s: %v\n", part, l.AttemptOutcomes[part])
	}
	for _, line := range l.Worst {
		fmt.Fprintln(&b, line)
	}
	return b.String()
}
