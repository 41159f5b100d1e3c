package system

import (
	"fmt"
	"time"

	"threadrun/internal/hash"
)

// Finding is a seed that failed.
type Finding struct {
	Seed      uint64 `json:"seed"`
	Kind      string `json:"kind"`
	Detail    string `json:"detail"`    // the events that prove it, of the shrunk script if there is one
	Clustered bool   `json:"clustered"` // whether the routers had an operator's file
	Script    string `json:"script"`
	Shrunk    string `json:"shrunk,omitempty"`
}

// Report is the result of a campaign.
type Report struct {
	Seeds          int            `json:"seeds"`
	Failed         []Finding      `json:"failed"`
	VirtualSeconds float64        `json:"virtual_s"`
	WallSeconds    float64        `json:"wall_s"`
	Triples        map[string]int `json:"triples"` // scripts in which these three began within one second
	Pairs          map[string]int `json:"pairs"`   // scripts in which these two began within one second

	// DrainPurgeSlowOriginShare is the share of the scripts in which these three began within one second.
	DrainPurgeSlowOriginShare float64  `json:"drain_purge_slow_origin_share"`
	Coverage                  Coverage `json:"coverage"`
	Hash                      string   `json:"hash"` // of all histories
	Steps                     uint64   `json:"steps"`
	Requests                  int      `json:"requests"`

	hash uint64
}

// Coverage is what the scripts of a campaign have reached.
type Coverage struct {
	Situations int `json:"situations"`  // distinct ones
	NeverReady int `json:"never_ready"` // routers that have never become ready
}

func newReport() *Report {
	return &Report{Triples: map[string]int{}, Pairs: map[string]int{}, Failed: []Finding{}}
}

// add counts one result. DrainPurgeSlowOriginShare is a count until finish is called.
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

func (r *Report) finish(situations int, wall time.Duration) {
	r.DrainPurgeSlowOriginShare /= float64(max(r.Seeds, 1))
	r.Coverage.Situations = situations
	r.Hash = fmt.Sprintf("%016x", r.hash)
	r.WallSeconds = wall.Seconds()
}
