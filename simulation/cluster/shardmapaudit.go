package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

const (
	// HealGrace is how long after a partition has healed two routers may serve a key: until both have received the
	// higher map.
	HealGrace = 5 * clock.Second
	// UnservedGrace is how long after a disruption no router may serve a key.
	UnservedGrace = 20 * clock.Second

	checkInterval = 50 * clock.Millisecond
	randomKeys    = 48 // in each check
)

// ShardMapAudit checks which routers serve which keys.
type ShardMapAudit struct {
	Proposed            map[shardmap.Digest]*shardmap.Map
	Unproposed          int                     // maps adopted that no router has proposed
	Checks              int                     // of one key at one time
	DoublyServed        int                     // checks of a key served by two routers that could reach each other
	DoublyServedHealing int                     // such checks within HealGrace; not in DoublyServed
	Unserved            int                     // checks of a key that no router served
	UnservedLate        int                     // of them, beyond UnservedGrace after the last disruption
	Convergence         *hdrhistogram.Histogram // ms from a disruption until Converged

	cluster          *Cluster
	keys             []shardmap.Key
	disruptedAt      Micros
	healedAt         Micros
	partitioned      bool
	convergenceTimed bool
	disrupted        bool
}

// AuditShardMaps enables shard maps and their audit. It is called before the first event.
func (c *Cluster) AuditShardMaps() *ShardMapAudit {
	a := &ShardMapAudit{
		Proposed:    map[shardmap.Digest]*shardmap.Map{},
		Convergence: newHistogram(),
		cluster:     c,
		keys:        []shardmap.Key{0, shardmap.LastKey},
	}
	for range randomKeys {
		a.keys = append(a.keys, shardmap.Key(c.random.Uint64()))
	}
	c.FullNodes = true
	c.Features.ShardMap = true
	c.ShardMaps = a
	c.every(checkInterval, checkInterval, a.check)
	return a
}

// NoteDisruption marks a disruption. Convergence is timed from now on.
func (a *ShardMapAudit) NoteDisruption() {
	a.disruptedAt = a.cluster.Now
	a.disrupted = true
	a.convergenceTimed = false
}

// check checks some keys, and the ends of a range of one router's map.
func (a *ShardMapAudit) check() {
	a.noteHealing()
	keys := a.keys
	ends := a.rangeEnds()
	keys = append(keys[:len(keys):len(keys)], ends...)
	for _, key := range keys {
		a.checkKey(key)
	}
	if a.disrupted && !a.convergenceTimed && a.Converged() {
		a.convergenceTimed = true
		recordDuration(a.Convergence, a.cluster.Now-a.disruptedAt)
	}
}

func (a *ShardMapAudit) noteHealing() {
	partitioned := a.cluster.Blocked != nil
	if a.partitioned && !partitioned {
		a.healedAt = a.cluster.Now
	}
	a.partitioned = partitioned
}

// rangeEnds returns the first and the last key of a random range of a random router's map.
func (a *ShardMapAudit) rangeEnds() []shardmap.Key {
	c := a.cluster
	n := c.Nodes[c.random.IntN(len(c.Nodes))]
	if !n.Running || n.Core == nil {
		return nil
	}
	m, _ := n.Core.Shards.Map()
	if m == nil {
		return nil
	}
	r := m.Ranges[c.random.IntN(len(m.Ranges))]
	return []shardmap.Key{r.First, r.Last}
}

func (a *ShardMapAudit) checkKey(key shardmap.Key) {
	a.Checks++
	servers := a.serversOf(key)
	if len(servers) == 0 {
		a.Unserved++
		if a.cluster.Now-a.disruptedAt > UnservedGrace {
			a.UnservedLate++
		}
	}
	for i, server := range servers {
		for _, other := range servers[:i] {
			a.countPair(server, other)
		}
	}
}

// serversOf returns the active routers that serve a key.
func (a *ShardMapAudit) serversOf(key shardmap.Key) []int {
	var servers []int
	for i, n := range a.cluster.Nodes {
		if !n.active() || n.Core == nil {
			continue
		}
		if _, serves := n.Core.Shards.Serves(key, n.clock()); serves {
			servers = append(servers, i)
		}
	}
	return servers
}

// countPair counts two routers that serve the same key.
func (a *ShardMapAudit) countPair(server, other int) {
	c := a.cluster
	if c.Blocked != nil && (c.Blocked(server, other) || c.Blocked(other, server)) {
		return
	}
	if a.healedAt > 0 && c.Now-a.healedAt < HealGrace {
		a.DoublyServedHealing++
	} else {
		a.DoublyServed++
	}
}

// Converged reports whether all active routers use the same active map, and its owners are exactly these routers.
func (a *ShardMapAudit) Converged() bool {
	var common *shardmap.Map
	routers := 0
	for _, n := range a.cluster.Nodes {
		if !n.active() || n.Core == nil {
			continue
		}
		m, state := n.Core.Shards.Map()
		if m == nil || state != shardmap.Active || !namesOwner(m, n) {
			return false
		}
		if common == nil {
			common = m
		}
		if m.Version != common.Version {
			return false
		}
		routers++
	}
	return common != nil && len(common.Owners) == routers
}

func namesOwner(m *shardmap.Map, n *Node) bool {
	self := n.Membership.Self()
	return m.OwnerIndex(shardmap.Owner{ID: self.ID, Incarnation: self.Incarnation}) != shardmap.NoOwner
}

// adopted counts a map that a router has adopted and no router has proposed.
func (a *ShardMapAudit) adopted(n *Node, m *shardmap.Map) {
	if a.Proposed[m.Digest] != nil {
		return
	}
	if n.Core == nil || !n.Core.Shards.ProposedLast(m.Digest) {
		a.Unproposed++
		return
	}
	a.Proposed[m.Digest] = m
}
