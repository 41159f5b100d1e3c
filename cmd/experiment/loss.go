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

// lossRun is the experiment 'loss': it reports which requests of a run were late, rejected or unanswered, by class
// and outcome. It needs logs with each step of a request; routers write them if the operator's file has
// "trace": {"visits": true}.
type lossRun struct {
	Dir          string  `arg:"" type:"existingdir" help:"Directory of the routers' logs, a file *.log for each."`
	Parts        int     `default:"3" help:"Number of parts of equal length into which the run is divided."`
	Request      string  `help:"Print only the log lines of the request with this id, from all logs."`
	Worst        int     `default:"0" help:"Number of requests that lost weight to list for each part."`
	MaxLostShare float64 `default:"1" help:"Upper bound on the share of the priority weight that is lost."`
	JSON         bool    `name:"json" help:"Print only the result, as one line of JSON."`
}

// lossGroup summarizes the requests of one class that arrived in one part of the run and ended in the same way.
type lossGroup struct {
	Part      int     `json:"part"` // from 0
	Class     string  `json:"class"`
	End       string  `json:"end"` // from requestHistory.end
	Requests  int     `json:"requests"`
	Attempts  int     `json:"attempts"`
	LostShare float64 `json:"lost_share"` // of the weight of all requests
}

// lossResult is the result of the experiment.
type lossResult struct {
	Requests        int                       `json:"requests"`
	Attempts        int                       `json:"attempts"`
	LostShare       float64                   `json:"lost_share"`
	Groups          []lossGroup               `json:"groups"`
	AttemptOutcomes map[string]map[string]int `json:"attempt_outcomes"` // counts by part, outcome and cache status
	Worst           []string                  `json:"worst,omitempty"`
}

// Run runs the experiment. It is called by the command line.
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
		if err := log.readFile(file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	result := log.summarize(r.Parts, r.Worst)
	return report(r.JSON, result.summary(), result, result.LostShare > r.MaxLostShare)
}

// minTotalWeight avoids a division by zero if a run has no requests.
const minTotalWeight = 1e-9

// summarize divides the run into parts and groups its requests. The result lists, for each part, up to worst
// requests that lost weight.
func (l *requestLog) summarize(parts, worst int) *lossResult {
	result := &lossResult{AttemptOutcomes: map[string]map[string]int{}}
	ids := slices.Sorted(maps.Keys(l.requests))
	length, weight := l.totals(ids)
	partOf := func(seconds float64) int { return min(int(seconds/length*float64(parts)), parts-1) }
	groups := map[lossGroup]*lossGroup{}
	listed := map[int]int{}
	for _, id := range ids {
		request := l.requests[id]
		end, lost := request.end()
		part := partOf(request.arrivedAt)
		key := lossGroup{Part: part, Class: request.class, End: end}
		if groups[key] == nil {
			group := key
			groups[key] = &group
		}
		lostShare := lost / max(weight, minTotalWeight)
		groups[key].add(request, lostShare)
		result.Requests++
		result.Attempts += request.attempts
		result.LostShare += lostShare
		if lost > 0 && listed[part] < worst {
			listed[part]++
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

// totals returns the time of the last arrival in seconds, at least 0.001 as it is a divisor, and the sum of the
// requests' weights.
func (l *requestLog) totals(ids []string) (length, weight float64) {
	length = 0.001
	for _, id := range ids {
		length = max(length, l.requests[id].arrivedAt)
		weight += l.requests[id].priorityWeight
	}
	return length, weight
}

// add adds a request that ended in the group's way.
func (r *lossGroup) add(request *requestHistory, lostShare float64) {
	r.Requests++
	r.Attempts += request.attempts
	r.LostShare += lostShare
}

// sortGroups sorts groups by their lost share, the highest first.
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

// countOutcome counts the outcome of an attempt that ended in a part.
func (l *lossResult) countOutcome(part, outcome string) {
	if l.AttemptOutcomes[part] == nil {
		l.AttemptOutcomes[part] = map[string]int{}
	}
	l.AttemptOutcomes[part][outcome]++
}

// minShownShare is the lost share above which the summary has a line for a group.
const minShownShare = 0.001

func (l *lossResult) summary() string {
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
