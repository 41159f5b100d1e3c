package main

import (
	"fmt"
	"strings"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/random"
	"threadrun/simulation/cluster"
)

// shardMapsRun is the experiment 'shard-maps': it validates shard maps with and without faults, and simulates
// routers that use shard maps while some are killed.
type shardMapsRun struct {
	Routers   int     `default:"16" help:"Number of routers in the cluster."`
	Maps      int     `default:"1000" help:"Number of shard maps to validate, every other one with a fault."`
	Loss      float64 `default:"0" help:"Share of the datagrams lost, in each direction."`
	KillShare float64 `default:"0.7" help:"Share of the routers killed after half of the run and restarted."`
	Kills     int     `default:"2" help:"Number of routers killed one after another in the first half of the run."`
	Partition float64 `default:"0" help:"Duration of a partition into halves after 5/8 of the run, in seconds."`
	Seconds   float64 `default:"60" help:"Duration of the run, in seconds of virtual time."`
	Seed      uint32  `default:"1" help:"Seed of the simulation; the same seed gives the same result."`
	Verbose   bool    `help:"Print the routers' log lines."`
	JSON      bool    `name:"json" help:"Print only the result, as one line of JSON."`
}

// shardMapsResult is the result of the experiment. The counts of the simulation are described at
// cluster.ShardMapAudit.
type shardMapsResult struct {
	Routers                  int         `json:"routers"`
	Loss                     float64     `json:"loss"`
	Seed                     uint32      `json:"seed"`
	Maps                     int         `json:"maps"`            // that were validated
	ValidRejected            int         `json:"valid_rejected"`  // maps without a fault that the validation rejected
	FaultyAccepted           int         `json:"faulty_accepted"` // accepted maps that don't cover each key exactly once
	UnservedLate             int         `json:"unserved_late"`
	DoublyServed             int         `json:"doubly_served"`
	DoublyServedHealing      int         `json:"doubly_served_healing"`
	UnservedShare            float64     `json:"unserved_share"`
	UnproposedAdopted        int         `json:"unproposed_adopted"`
	ConvergenceMs            percentiles `json:"convergence_ms"`
	Converged                bool        `json:"converged"`
	DatagramsPerRouterSecond float64     `json:"datagrams_per_router_s"`
	LargestDatagram          int         `json:"largest_datagram_bytes"`
}

const (
	mapRestartDelay = 4 * clock.Second // from the kill of a router until it restarts
	maxCandidates   = 64               // routers that can own ranges of the validated maps
	mapSeed         = 0x6d617073       // makes the random source of the maps differ from that of the simulation
)

// coversOnce reports whether each key is in exactly one range. It checks the ends of all ranges and the keys next
// to them, and shares no code with the validation under test.
func coversOnce(ranges []shardmap.Range) bool {
	for _, r := range ranges {
		for _, key := range [...]shardmap.Key{r.First - 1, r.First, r.Last, r.Last + 1, 0, shardmap.LastKey} {
			if countRangesWith(ranges, key) != 1 {
				return false
			}
		}
	}
	return len(ranges) > 0
}

// countRangesWith returns the number of ranges that contain a key.
func countRangesWith(ranges []shardmap.Range, key shardmap.Key) int {
	count := 0
	for _, r := range ranges {
		if r.First <= key && key <= r.Last {
			count++
		}
	}
	return count
}

// breakMap makes a random range of a map faulty: it shifts a bound by 1 to 2^19 keys, swaps the bounds, removes
// the range, or repeats it.
func breakMap(m *shardmap.Map, source *random.Source) {
	index := source.IntN(len(m.Ranges))
	r := &m.Ranges[index]
	offset := shardmap.Key(1) << source.IntN(20)
	switch source.IntN(7) {
	case 0:
		r.First += offset
	case 1:
		r.First -= offset
	case 2:
		r.Last -= offset
	case 3:
		r.Last += offset
	case 4:
		r.First, r.Last = r.Last, r.First
	case 5:
		m.Ranges = append(m.Ranges[:index], m.Ranges[index+1:]...)
	case 6:
		m.Ranges = append(m.Ranges, *r)
	}
}

// validate generates maps, puts a fault into every other map, and counts those that the validation wrongly accepts
// or rejects.
func (r *shardMapsRun) validate(result *shardMapsResult) {
	source := &random.Source{Seed: r.Seed ^ mapSeed}
	candidates := shardmap.Candidates{}
	for range min(r.Routers, maxCandidates) {
		id := membership.NodeID(source.Uint64() | 1)
		zone := uint16(source.IntN(3))
		candidates[id] = shardmap.Candidate{Incarnation: 1, Zone: zone, Weight: 1, Present: true}
	}
	base := shardmap.Propose(nil, candidates, shardmap.Version{Term: 1, Number: 1})
	for i := range r.Maps {
		faulty := i%2 == 1
		m := shardmap.Propose(base, candidates, shardmap.Version{Term: 1, Number: 2})
		if faulty {
			breakMap(m, source)
		}
		accepted := shardmap.Validate(m, base, candidates, shardmap.DefaultBounds) == nil
		covered := coversOnce(m.Ranges)
		switch {
		case covered && !faulty && !accepted:
			result.ValidRejected++
		case !covered && accepted:
			result.FaultyAccepted++
		}
		result.Maps++
	}
}

// schedule schedules the kills and the partition, and notes each as a disruption in the audit.
func (r *shardMapsRun) schedule(c *cluster.Cluster, audit *cluster.ShardMapAudit, span clock.Micros) {
	for i := range r.Kills {
		at := span * clock.Micros(i+3) / clock.Micros(3*r.Kills+6)
		c.At(at, audit.NoteDisruption)
		c.ScheduleMassKill(0.5/float64(r.Routers), at, mapRestartDelay)
	}
	if r.KillShare > 0 {
		c.At(span/2, audit.NoteDisruption)
		c.ScheduleMassKill(r.KillShare, span/2, mapRestartDelay)
	}
	if r.Partition > 0 {
		at := span * 5 / 8
		length := micros(r.Partition)
		c.SchedulePartition(at, length)
		c.At(at, audit.NoteDisruption)
		c.At(at+length, audit.NoteDisruption)
	}
}

// simulate validates the maps, runs the cluster, and returns the result.
func (r *shardMapsRun) simulate() shardMapsResult {
	result := shardMapsResult{Routers: r.Routers, Loss: r.Loss, Seed: r.Seed}
	r.validate(&result)
	c := clusterConfig{
		seed: r.Seed, routers: r.Routers, leases: defaultLeases, loss: r.Loss, verbose: r.Verbose,
	}.newCluster()
	audit := c.AuditShardMaps()
	audit.NoteDisruption()
	span := micros(r.Seconds)
	r.schedule(c, audit, span)
	c.Run(span)
	result.DoublyServed = audit.DoublyServed
	result.DoublyServedHealing = audit.DoublyServedHealing
	result.UnservedLate = audit.UnservedLate
	result.UnproposedAdopted = audit.Unproposed
	result.UnservedShare = ratio(audit.Unserved, audit.Checks)
	result.ConvergenceMs = percentilesOf(audit.Convergence)
	result.Converged = audit.Converged()
	t := trafficOf(c)
	result.DatagramsPerRouterSecond = t.datagramsPerRouterSecond(r.Routers, r.Seconds)
	result.LargestDatagram = t.largestDatagram
	return result
}

func (s *shardMapsResult) summary(seconds float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d maps validated: %d valid ones rejected, %d faulty ones accepted\n",
		s.Maps, s.ValidRejected, s.FaultyAccepted)
	fmt.Fprintf(&b, "%d routers for %.0f s, %.0f%% of datagrams lost in each direction: two routers served a key in %d "+
		"checks (and in %d within %d ms after a partition healed)\n",
		s.Routers, seconds, s.Loss*100, s.DoublyServed, s.DoublyServedHealing, cluster.HealGrace/clock.Millisecond)
	fmt.Fprintf(&b, "no router served a key in %.1f%% of the checks, in %d checks later than %d s after a disruption\n",
		s.UnservedShare*100, s.UnservedLate, cluster.UnservedGrace/clock.Second)
	fmt.Fprintf(&b, "all routers had one active map after %d ms (p50), %d ms (longest); "+
		"each router sends %.1f datagrams a second\n",
		s.ConvergenceMs.P50, s.ConvergenceMs.Max, s.DatagramsPerRouterSecond)
	return b.String()
}

// boundMissed reports whether there was a violation, or whether the routers had not converged at the end.
func (s *shardMapsResult) boundMissed() bool {
	violations := s.ValidRejected + s.FaultyAccepted + s.DoublyServed + s.UnservedLate + s.UnproposedAdopted
	return violations > 0 || !s.Converged
}

// Run runs the experiment. It is called by the command line.
func (r *shardMapsRun) Run() error {
	result := r.simulate()
	return report(r.JSON, result.summary(r.Seconds), result, result.boundMissed())
}
