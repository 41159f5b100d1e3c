package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"threadrun/internal/testserver"
)

// healthChecksRun is the experiment 'health-checks': router processes share the health checks of a zone while one of
// them is killed.
type healthChecksRun struct {
	Router   string        `default:"bin/threadrun" help:"Path of the router's executable."`
	Routers  int           `default:"4" help:"Router processes."`
	Caches   int           `default:"24" help:"Test servers that stand for caches, each checked by one of the routers."`
	Loss     float64       `default:"0.2" help:"Share of datagrams that the relay loses."`
	Interval time.Duration `default:"300ms" help:"Time between two checks of a cache."`
	Settle   time.Duration `default:"5s" help:"Time until the count begins."`
	Duration time.Duration `default:"10s" help:"Length of the count; one router is killed after a third of it."`
	JSON     bool          `name:"json" help:"Print only the line of JSON."`
}

type healthChecksResult struct {
	Routers            int     `json:"routers"`
	Targets            int     `json:"targets"`
	Loss               float64 `json:"loss"`
	LongestGapMs       int64   `json:"longest_gap_ms"`
	DatagramsForwarded int64   `json:"datagrams_forwarded"`
	DatagramsLost      int64   `json:"datagrams_lost"`
	OversizedDatagrams int64   `json:"oversized_datagrams"`
	testserver.WorkStats
}

// longHealthCheckGap is the longest time for which a cache may be without a check.
const longHealthCheckGap = 3 * time.Second

// Run is called by the command line.
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
	return report(r.JSON, result.text(r.Caches), result, result.LongGaps > 0 || result.OversizedDatagrams > 0)
}

func (h *healthChecksResult) text(caches int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d routers share the health checks of %d caches and the parent, %.0f%% of their datagrams lost; ",
		h.Routers, caches, h.Loss*100)
	fmt.Fprintln(&b, "one is killed")
	fmt.Fprintf(&b, "%d checks over %d connections, gaps of over %v: %d, duplicates: %d, longest gap %d ms\n",
		h.Tasks, h.Workers, longHealthCheckGap, h.LongGaps, h.Duplicates, h.LongestGapMs)
	return b.String()
}

// operatorSections returns the sections of the operator's file about health checks.
func (r *healthChecksRun) operatorSections() string {
	return fmt.Sprintf(`, "probing": {"on": true, "shares": 64, "every_ms": %d, "timeout_ms": 200,
 "spend": {"works_per_s": 500, "out": 100}},
 "background": {"each_cache": {"works_per_s": 100}, "each_parent": {"works_per_s": 100}}`, r.Interval.Milliseconds())
}

// measure runs the routers, kills one, and counts at the caches.
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
	result.WorkStats = zone.Probes.Stats(from, time.Now(), r.Interval, longHealthCheckGap)
	result.Targets = zone.Probes.DistinctTargets(from)
	result.LongestGapMs = result.LongestGap.Milliseconds()
	result.DatagramsForwarded = zone.Relay.Forwarded.Load()
	result.DatagramsLost = zone.Relay.Lost.Load()
	result.OversizedDatagrams = zone.Relay.Oversized.Load()
	if result.Targets < r.Caches {
		log, _ := os.ReadFile(processes[0].LogPath) // without it the error is shorter
		return result, fmt.Errorf("only %d of %d caches were checked; a router's log:\n%s", result.Targets, r.Caches, log)
	}
	return result, nil
}
