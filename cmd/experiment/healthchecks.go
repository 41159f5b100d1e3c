package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// healthChecksRun is the experiment 'health-checks': router processes share the health checks of a zone, and one
// router is killed.
type healthChecksRun struct {
	Router   string        `default:"bin/threadrun" help:"Path of the router's executable."`
	Routers  int           `default:"4" help:"Number of router processes."`
	Caches   int           `default:"24" help:"Number of test servers that stand for caches; one router checks each."`
	Loss     float64       `default:"0.2" help:"Share of the datagrams between routers that are lost."`
	Interval time.Duration `default:"300ms" help:"Time between two checks of a cache."`
	Settle   time.Duration `default:"5s" help:"Time from the start of the routers until checks are counted."`
	Duration time.Duration `default:"10s" help:"Time for which checks are counted; a router is killed after a third."`
	JSON     bool          `name:"json" help:"Print only the result, as one line of JSON."`
}

// healthChecksResult is the result of the experiment. The counts of checks are in WorkStats.
type healthChecksResult struct {
	Routers            int     `json:"routers"`
	Targets            int     `json:"targets"` // servers that were checked
	Loss               float64 `json:"loss"`
	LongestGapMs       int64   `json:"longest_gap_ms"`
	DatagramsForwarded int64   `json:"datagrams_forwarded"`
	DatagramsLost      int64   `json:"datagrams_lost"`
	OversizedDatagrams int64   `json:"oversized_datagrams"`
	testserver.WorkStats
}

// longHealthCheckGap is the longest time for which a cache may be without a check.
const longHealthCheckGap = 3 * time.Second

// Run runs the experiment. It is called by the command line.
func (r *healthChecksRun) Run() error {
	var result healthChecksResult
	err := withTempDir("health-checks", func(dir string) error {
		var err error
		result, err = r.measure(dir)
		return err
	})
	if err != nil {
		return err
	}
	return report(r.JSON, result.summary(r.Caches), result, result.LongGaps > 0 || result.OversizedDatagrams > 0)
}

func (h *healthChecksResult) summary(caches int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers share the health checks of %d caches and the parent, %.0f%% of their datagrams lost; ",
		h.Routers, caches, h.Loss*100)
	fmt.Fprintln(&b, "one router is killed")
	fmt.Fprintf(&b, "%d checks over %d connections, gaps of more than %v: %d, duplicates: %d, longest gap %d ms\n",
		h.Tasks, h.Connections, longHealthCheckGap, h.LongGaps, h.Duplicates, h.LongestGapMs)
	return b.String()
}

// operatorSections returns the sections of the operator's file about health checks.
func (r *healthChecksRun) operatorSections() string {
	return fmt.Sprintf(`, "probing": {"on": true, "shares": 64, "every_ms": %d, "timeout_ms": 200,
 "spend": {"works_per_s": 500, "out": 100}},
 "background": {"each_cache": {"works_per_s": 100}, "each_parent": {"works_per_s": 100}}`, r.Interval.Milliseconds())
}

// measure runs the routers, kills one, and counts the checks that arrive at the test servers. It returns an error
// if some cache was never checked.
func (r *healthChecksRun) measure(dir string) (healthChecksResult, error) {
	result := healthChecksResult{Routers: r.Routers, Loss: r.Loss}
	zone, err := testserver.NewZone(dir, r.Caches, r.Routers, r.Loss, nil)
	if err != nil {
		return result, fmt.Errorf("start the zone: %w", err)
	}
	defer zone.Close()
	settings := testserver.ZoneSettings(r.Routers)
	processes, err := startRouters(zone, r.Routers, r.Router, settings, r.operatorSections())
	defer killAll(processes)
	if err != nil {
		return result, err
	}
	time.Sleep(r.Settle)
	from := time.Now()
	time.Sleep(r.Duration / 3)
	processes[1].Kill()
	time.Sleep(r.Duration * 2 / 3)
	result.WorkStats = zone.HealthChecks.Stats(from, time.Now(), r.Interval, longHealthCheckGap)
	result.Targets = zone.HealthChecks.DistinctTargets(from)
	result.LongestGapMs = result.LongestGap.Milliseconds()
	result.DatagramsForwarded = zone.Relay.Forwarded.Load()
	result.DatagramsLost = zone.Relay.Lost.Load()
	result.OversizedDatagrams = zone.Relay.Oversized.Load()
	if result.Targets < r.Caches {
		log, _ := os.ReadFile(processes[0].LogPath) // the error is returned even if the log can't be read
		return result, fmt.Errorf("only %d of %d caches were checked; a router's log:\n%s", result.Targets, r.Caches, log)
	}
	return result, nil
}
