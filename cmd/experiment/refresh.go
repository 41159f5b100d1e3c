package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"threadrun/internal/testserver"
)

// refreshRun is the experiment 'refresh': pairs of runs of router processes under the same load, one without and
// one with refresh ahead.
type refreshRun struct {
	Router    string        `default:"bin/threadrun" help:"Path of the router's executable."`
	Routers   int           `default:"2" help:"Number of router processes."`
	Caches    int           `default:"4" help:"Number of test servers that stand for the caches of the zone."`
	Rate      float64       `default:"300" help:"Requests per second at all routers together."`
	Objects   int           `default:"300" help:"Number of pages that are requested."`
	Skew      float64       `default:"1.2" help:"Exponent of the Zipf distribution from which pages are drawn."`
	Freshness time.Duration `default:"2s" help:"Freshness lifetime of a page."`
	Seconds   float64       `default:"12" help:"Measured time of each run in seconds, after three seconds of warm-up."`
	Pairs     int           `default:"5" help:"Number of pairs of runs, one without and one with refresh ahead."`
	Seed      uint64        `default:"1" help:"Seed of the load; the same seed requests the same pages at the same times."`
	JSON      bool          `name:"json" help:"Print only the result, as one line of JSON."`

	MaxP99Ratio float64 `name:"max-p99-ratio" default:"0" help:"Upper bound on p99_ratio; 0: none."`
}

// refreshStats is the result of one run.
type refreshStats struct {
	P50Us         int64   `json:"p50_us"`
	P99Us         int64   `json:"p99_us"`
	Answered      int     `json:"answered"`
	Rejected      int     `json:"rejected"`
	Failed        int     `json:"failed"`
	FreshShare    float64 `json:"fresh_share"`     // of the caches' answers: hits within the freshness lifetime
	StaleShare    float64 `json:"stale_share"`     // of the caches' answers: stale copies
	FillWaitShare float64 `json:"fill_wait_share"` // of the caches' answers: those that waited for a fill
	Fills         int     `json:"fills"`           // at the zone's caches, background work included
	Refreshes     int     `json:"refreshes"`       // requests by routers, to refresh copies
}

// refreshResult is the result of the experiment.
type refreshResult struct {
	Off              refreshStats `json:"off"` // medians of the runs without refresh ahead
	On               refreshStats `json:"on"`  // medians of the runs with refresh ahead
	Pairs            int          `json:"pairs"`
	P99Ratio         float64      `json:"p99_ratio"` // with refresh ahead over without, median of the pairs
	P50Ratio         float64      `json:"p50_ratio"`
	P99RatiosPercent []int        `json:"p99_ratios_percent"` // of each pair
}

const (
	discoveryTime    = 2500 * time.Millisecond // in which the routers discover one another
	warmUpTime       = 3 * time.Second
	clientsPerRouter = 4
	connectTimeout   = 5 * time.Second
)

// Service times of the test servers: a hit takes a few milliseconds, a fill takes tens of milliseconds.
const (
	cacheServiceTime  = 2 * time.Millisecond
	parentServiceTime = 10 * time.Millisecond
	originServiceTime = 25 * time.Millisecond
)

// firstRefreshID is above the trace ids of clients' requests. Requests with this id or a higher one count as
// refreshes: the ids of refreshes are random 64-bit numbers, which are almost never lower.
const firstRefreshID = 1<<32 + 1

// Run runs the experiment. It is called by the command line.
func (r *refreshRun) Run() error {
	var off, on []refreshStats
	var ratiosP50, ratiosP99 []float64
	for pair := range r.Pairs {
		without, with, err := r.measurePair(pair)
		if err != nil {
			return fmt.Errorf("pair %d: %w", pair+1, err)
		}
		off = append(off, without)
		on = append(on, with)
		ratiosP50 = append(ratiosP50, float64(with.P50Us)/float64(without.P50Us))
		ratiosP99 = append(ratiosP99, float64(with.P99Us)/float64(without.P99Us))
		if !r.JSON {
			fmt.Printf("pair %d: p99 %d us without refresh ahead, %d us with it, ratio %.2f; fresh %.3f, %.3f; fills %d, %d\n",
				pair+1, without.P99Us, with.P99Us, ratiosP99[pair], without.FreshShare, with.FreshShare, without.Fills, with.Fills)
		}
	}
	result := refreshResult{
		Off:      medians(off),
		On:       medians(on),
		Pairs:    r.Pairs,
		P99Ratio: round(median(ratiosP99)),
		P50Ratio: round(median(ratiosP50)),
	}
	for _, x := range ratiosP99 {
		result.P99RatiosPercent = append(result.P99RatiosPercent, int(x*100+0.5))
	}
	return report(r.JSON, "", result, r.MaxP99Ratio > 0 && result.P99Ratio > r.MaxP99Ratio)
}

// measurePair measures both runs of a pair. The run without refresh ahead comes first in the even pairs, second in
// the odd ones.
func (r *refreshRun) measurePair(pair int) (without, with refreshStats, err error) {
	for run := range 2 {
		refresh := (pair+run)%2 == 1
		stats, err := r.measure(refresh, r.Seed+uint64(pair))
		if err != nil {
			return without, with, err
		}
		if refresh {
			with = stats
		} else {
			without = stats
		}
	}
	return without, with, nil
}

// median returns the middle value, the upper of two. x must not be empty and is not changed.
func median(x []float64) float64 {
	sorted := slices.Clone(x)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// medians returns the median of each value over runs.
func medians(runs []refreshStats) refreshStats {
	medianOf := func(value func(*refreshStats) float64) float64 {
		var x []float64
		for i := range runs {
			x = append(x, value(&runs[i]))
		}
		return median(x)
	}
	medianCount := func(value func(*refreshStats) int) int {
		return int(medianOf(func(s *refreshStats) float64 { return float64(value(s)) }))
	}
	return refreshStats{
		P50Us:         int64(medianOf(func(s *refreshStats) float64 { return float64(s.P50Us) })),
		P99Us:         int64(medianOf(func(s *refreshStats) float64 { return float64(s.P99Us) })),
		Answered:      medianCount(func(s *refreshStats) int { return s.Answered }),
		Rejected:      medianCount(func(s *refreshStats) int { return s.Rejected }),
		Failed:        medianCount(func(s *refreshStats) int { return s.Failed }),
		FreshShare:    medianOf(func(s *refreshStats) float64 { return s.FreshShare }),
		StaleShare:    medianOf(func(s *refreshStats) float64 { return s.StaleShare }),
		FillWaitShare: medianOf(func(s *refreshStats) float64 { return s.FillWaitShare }),
		Fills:         medianCount(func(s *refreshStats) int { return s.Fills }),
		Refreshes:     medianCount(func(s *refreshStats) int { return s.Refreshes }),
	}
}

// replyCounts counts the caches' replies after the warm-up by cache status. It is safe for concurrent use.
type replyCounts struct {
	mu        sync.Mutex
	since     time.Time // when counting began; zero: the warm-up is not over
	refreshes int
	byStatus  map[string]int
}

// start begins the count, at the end of the warm-up.
func (c *replyCounts) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
}

// observe counts a reply, either as a refresh or by its cache status.
func (c *replyCounts) observe(request *testserver.CacheRequest, status string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		return
	}
	id, err := strconv.ParseUint(request.ID, 16, 64)
	if err == nil && id >= firstRefreshID {
		c.refreshes++
		return
	}
	c.byStatus[status]++
}

// configure sets the freshness lifetime and the service time of a test server. Replies of caches are counted,
// those of the parent and the origin are not.
func (r *refreshRun) configure(server *testserver.Cache, counts *replyCounts) {
	server.FreshnessLifetime = map[string]time.Duration{"page": r.Freshness}
	switch server.Name {
	case "parent":
		server.ServiceTime = parentServiceTime
	case "origin":
		server.ServiceTime = originServiceTime
	default:
		server.ServiceTime = cacheServiceTime
		server.ObserveReply = counts.observe
	}
}

// measure runs a zone under the load, with or without refresh ahead.
func (r *refreshRun) measure(refresh bool, seed uint64) (stats refreshStats, err error) {
	err = withTempDir("refresh", func(dir string) error {
		stats, err = r.measureIn(dir, refresh, seed)
		return err
	})
	return stats, err
}

// measureIn is measure with a directory for files.
func (r *refreshRun) measureIn(dir string, refresh bool, seed uint64) (refreshStats, error) {
	counts := &replyCounts{byStatus: map[string]int{}}
	configure := func(server *testserver.Cache) { r.configure(server, counts) }
	zone, err := testserver.NewZone(dir, r.Caches, r.Routers, 0, configure)
	if err != nil {
		return refreshStats{}, fmt.Errorf("start the zone: %w", err)
	}
	defer zone.Close()
	fresh := fmt.Sprintf(`"class_fresh":[%d,0]`, r.Freshness.Milliseconds())
	settings := strings.Replace(testserver.ZoneSettings(r.Routers), `"class_fresh":[60000,0]`, fresh, 1)
	section := fmt.Sprintf(`, "renewing": {"on": %v}`, refresh)
	processes, err := startRouters(zone, r.Routers, r.Router, settings, section)
	defer killAll(processes)
	if err != nil {
		return refreshStats{}, err
	}
	time.Sleep(discoveryTime)
	clients, err := connectClients(processes)
	defer closeClients(clients)
	if err != nil {
		return refreshStats{}, err
	}
	load := testserver.Load{
		RequestsPerSecond: r.Rate,
		Objects:           r.Objects,
		Skew:              r.Skew,
		Duration:          time.Duration(r.Seconds * float64(time.Second)),
		WarmUp:            warmUpTime,
		Seed:              seed,
	}
	time.AfterFunc(warmUpTime, counts.start)
	return newRefreshStats(load.Run(clients), counts, zone), nil
}

// connectClients connects clients to each router. The caller must close the returned clients, also after an error.
func connectClients(processes []*testserver.Process) ([]*testserver.Client, error) {
	var clients []*testserver.Client
	for _, p := range processes {
		for range clientsPerRouter {
			c, err := p.Client(connectTimeout)
			if err != nil {
				return clients, fmt.Errorf("connect to a router: %w", err)
			}
			clients = append(clients, c)
		}
	}
	return clients, nil
}

// closeClients closes the connections of clients.
func closeClients(clients []*testserver.Client) {
	for _, c := range clients {
		c.Close()
	}
}

// newRefreshStats combines what the clients, the caches and the zone have counted in a run.
func newRefreshStats(load *testserver.LoadStats, counts *replyCounts, zone *testserver.Zone) refreshStats {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	hits, stale, filled := counts.byStatus["hit"], counts.byStatus["stale"], counts.byStatus["filled"]
	all := float64(hits + stale + filled)
	return refreshStats{
		P50Us:         load.Latency.ValueAtPercentile(50),
		P99Us:         load.Latency.ValueAtPercentile(99),
		Answered:      load.Answered,
		Rejected:      load.Rejected,
		Failed:        load.Failed,
		FreshShare:    round(float64(hits) / all),
		StaleShare:    round(float64(stale) / all),
		FillWaitShare: round(float64(filled) / all),
		Fills:         zone.Fills.CountSince(counts.since),
		Refreshes:     counts.refreshes,
	}
}
