package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

const (
	// HealGrace is how long after the healing of a partition two routers may both serve a key, since they may not yet
	// have received the map with the higher version.
	HealGrace = 5 * clock.Second
	// UnservedGrace is how long after a disruption a key may be served by no router.
	UnservedGrace = 20 * clock.Second

	checkInterval = 50 * clock.Millisecond
	randomKeys    = 48 // keys that each check checks, drawn once per run
)

// ShardMapAudit checks, for a sample of keys, which routers serve each key, and that all adopted maps were proposed.
type ShardMapAudit struct {
	Proposed            map[shardmap.Digest]*shardmap.Map
	Unproposed          int                     // adoptions of maps that no router has proposed
	Checks              int                     // each is of one key at one time
	DoublyServed        int                     // pairs of routers that can reach each other and serve the same key
	DoublyServedHealing int                     // such pairs within HealGrace; not included in DoublyServed
	Unserved            int                     // checks of a key that no router served
	UnservedLate        int                     // included in Unserved: beyond UnservedGrace after the last disruption
	Convergence         *hdrhistogram.Histogram // ms from a disruption until Converged

	cluster          *Cluster
	keys             []shardmap.Key
	disruptedAt      Micros
	healedAt         Micros
	partitioned      bool
	convergenceTimed bool
	disrupted        bool
}

// AuditShardMaps enables shard maps and their audit. It must be called before the first event.
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

// NoteDisruption tells the audit that the cluster is disrupted now. The audit measures the time until it converges.
func (a *ShardMapAudit) NoteDisruption() {
	a.disruptedAt = a.cluster.Now
	a.disrupted = true
	a.convergenceTimed = false
}

// check checks the sample of keys and the ends of one range of a router's map, and detects convergence.
func (a *ShardMapAudit) check() {
	a.detectHealing()
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

// detectHealing records the time when a partition has healed.
func (a *ShardMapAudit) detectHealing() {
	partitioned := a.cluster.Blocked != nil
	if a.partitioned && !partitioned {
		a.healedAt = a.cluster.Now
	}
	a.partitioned = partitioned
}

// rangeEnds returns the first and the last key of a random range of a random router's map, or nil if the router has
// no map.
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

// checkKey counts a key that no router serves, and each pair of routers that serve it.
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
			a.countDoublyServed(server, other)
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

// countDoublyServed counts a pair of routers that serve the same key, unless a link between them is down.
func (a *ShardMapAudit) countDoublyServed(server, other int) {
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

// Converged reports whether all active routers have the same map, it is active at each of them, and its owners are
// exactly these routers.
func (a *ShardMapAudit) Converged() bool {
	var common *shardmap.Map
	routers := 0
	for _, n := range a.cluster.Nodes {
		if !n.active() || n.Core == nil {
			continue
		}
		m, state := n.Core.Shards.Map()
		if m == nil || state != shardmap.Active || !listsOwner(m, n) {
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

// listsOwner reports whether a router is an owner of a map in its current incarnation.
func listsOwner(m *shardmap.Map, n *Node) bool {
	self := n.Membership.Self()
	return m.OwnerIndex(shardmap.Owner{ID: self.ID, Incarnation: self.Incarnation}) != shardmap.NoOwner
}

// mapAdopted records a map that a router has adopted. An adoption counts as unproposed unless the router is the
// proposer of the map, or the proposer has adopted the map before.
func (a *ShardMapAudit) mapAdopted(n *Node, m *shardmap.Map) {
	if a.Proposed[m.Digest] != nil {
		return
	}
	if n.Core == nil || !n.Core.Shards.ProposedLast(m.Digest) {
		a.Unproposed++
		return
	}
	a.Proposed[m.Digest] = m
}
