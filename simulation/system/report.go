package system

import (
	"fmt"
	"time"

	"threadrun/internal/hash"
)

// Finding describes the failure of a seed.
type Finding struct {
	Seed      uint64 `json:"seed"`
	Kind      string `json:"kind"`      // see Result.Kind
	Detail    string `json:"detail"`    // the failure and its events, from the run of the shrunk script if there is one
	Clustered bool   `json:"clustered"` // whether the routers had an operator's file
	Script    string `json:"script"`
	Shrunk    string `json:"shrunk,omitempty"` // the shrunk script; empty: the script was not shrunk
}

// Report is the result of a campaign.
type Report struct {
	Seeds          int            `json:"seeds"`
	Failed         []Finding      `json:"failed"`
	VirtualSeconds float64        `json:"virtual_s"`
	WallSeconds    float64        `json:"wall_s"`
	Triples        map[string]int `json:"triples"` // number of scripts by triple, see Result
	Pairs          map[string]int `json:"pairs"`   // number of scripts by pair, see Result

	// DrainPurgeSlowOriginShare is the share of the scripts in which a drain, a purge and a slow origin began within
	// one second.
	DrainPurgeSlowOriginShare float64  `json:"drain_purge_slow_origin_share"`
	Coverage                  Coverage `json:"coverage"`
	Hash                      string   `json:"hash"`  // of the sequences of events of all seeds
	Steps                     uint64   `json:"steps"` // see Result
	Requests                  int      `json:"requests"`

	hash uint64
}

// Coverage counts what the scripts of a campaign have reached.
type Coverage struct {
	Situations int `json:"situations"`  // distinct ones
	NeverReady int `json:"never_ready"` // see Result
}

func newReport() *Report {
	return &Report{Triples: map[string]int{}, Pairs: map[string]int{}, Failed: []Finding{}}
}

// add adds the result of one seed, whose requests were sent during span. DrainPurgeSlowOriginShare is a count until
// finish is called.
func (r *Report) add(result *Result, span Micros) {
	r.hash = hash.Combine(r.hash, result.Hash)
	r.Seeds++
	r.Steps += result.Steps
	r.Requests += result.Stats.Requests
	r.Coverage.NeverReady += result.NeverReady
	r.VirtualSeconds += span.Seconds()
	for names := range result.Triples {
		r.Triples[names]++
	}
	for names := range result.Pairs {
		r.Pairs[names]++
	}
	if result.DrainPurgeSlowOrigin {
		r.DrainPurgeSlowOriginShare++
	}
}

// finish completes the report after the last seed.
func (r *Report) finish(situations int, wall time.Duration) {
	r.DrainPurgeSlowOriginShare /= float64(max(r.Seeds, 1))
	r.Coverage.Situations = situations
	r.Hash = fmt.Sprintf("%016x", r.hash)
	r.WallSeconds = wall.Seconds()
}
