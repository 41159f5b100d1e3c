package cluster

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
)

func withShardMaps(seed uint32, routers int, loss float64) (*Cluster, *ShardMapAudit) {
	c := New(seed, routers, 0, lease.Counts{Refresh: 16}, DefaultNetwork(loss), interval)
	return c, c.AuditShardMaps()
}

// Routers start, and 70% of them are killed at once and restart: both times all routers agree on one map, and no key
// is served by two routers.
func TestShardMapsThroughMassKill(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		c, audit := withShardMaps(9, 20, loss)
		audit.NoteDisruption()
		c.Run(15 * second)
		if !audit.Converged() {
			t.Fatalf("loss %v: the routers share no active map 15 s after their start", loss)
		}
		c.At(c.Now, audit.NoteDisruption)
		c.ScheduleMassKill(0.7, c.Now, 4*second)
		c.Run(c.Now + 30*second)
		if !audit.Converged() || audit.DoublyServed > 0 || audit.Unproposed > 0 || audit.UnservedLate > 0 {
			t.Errorf("loss %v: converged %v, doubly served %d, unproposed %d, unserved late %d", loss, audit.Converged(),
				audit.DoublyServed, audit.Unproposed, audit.UnservedLate)
		}
	}
}

// During a partition each side has an active map of its own; after the healing all routers agree on one map.
func TestShardMapsThroughPartition(t *testing.T) {
	c, audit := withShardMaps(4, 16, 0.1)
	c.Run(15 * second)
	c.SchedulePartition(c.Now, 12*second)
	c.Run(c.Now + 11*second)
	activeVersions := map[shardmap.Version]bool{}
	for _, n := range c.Nodes {
		if m, state := n.Core.Shards.Map(); state == shardmap.Active {
			activeVersions[m.Version] = true
		}
	}
	if len(activeVersions) != 2 {
		t.Errorf("%d active maps during the partition", len(activeVersions))
	}
	audit.NoteDisruption()
	c.Run(c.Now + 20*second)
	if !audit.Converged() || audit.DoublyServed > 0 || audit.Unproposed > 0 {
		t.Errorf("converged %v, doubly served %d, unproposed %d", audit.Converged(), audit.DoublyServed, audit.Unproposed)
	}
}

// An owner of keys is paused for five seconds, so that its map expires: it serves no key before its first tick after
// the pause, and no key is served by two routers afterwards.
func TestPausedOwnerServesNothing(t *testing.T) {
	c, audit := withShardMaps(6, 8, 0)
	c.Run(15 * second)
	router := c.Nodes[2]
	router.Pause()
	c.Run(c.Now + 5*second)
	for _, k := range audit.keys {
		if _, serves := router.Core.Shards.Serves(k, router.clock()); serves {
			t.Fatalf("the paused router serves key %d before its first tick", k)
		}
	}
	if router.Core.Shards.InContact(router.clock()) {
		t.Error("the paused router is in contact before its first tick, so that its answers to queries count as complete")
	}
	router.Resume()
	c.Run(c.Now + 10*second)
	if audit.DoublyServed > 0 || !audit.Converged() {
		t.Errorf("doubly served %d, converged %v", audit.DoublyServed, audit.Converged())
	}
}

// Guards against resumed routers that serve keys under an old map, which others have replaced during the pause. A map
// is announced by datagrams that were sent before the pause and still wait in the socket, behind many others, and by
// another router that resumes at the same time. Neither proves that the map is still in use.
func TestResumedOwnersDoNotServeReplacedMap(t *testing.T) {
	for seed := range uint32(150) {
		c, audit := withShardMaps(seed, 5, 0.1)
		c.Run(12 * second)
		paused := c.Nodes[:1+seed%2]
		for _, router := range paused {
			router.Pause()
			c.fillSocket(router)
		}
		c.Run(c.Now + 1800*ms + Micros(seed)*15*ms)
		for _, router := range paused {
			router.Resume()
		}
		c.Run(c.Now + 12*second)
		if audit.DoublyServed > 0 || !audit.Converged() {
			t.Errorf("seed %d: doubly served %d, converged %v", seed, audit.DoublyServed, audit.Converged())
		}
	}
}

// A router that was stalled too briefly for others to believe it dead serves its keys again within some ticks, without
// an announcement by another router.
func TestBrieflyStalledOwnerServesAgain(t *testing.T) {
	for stall := 350 * ms; stall < 900*ms; stall += 50 * ms {
		c, audit := withShardMaps(uint32(stall), 5, 0)
		c.Run(12 * second)
		router := c.Nodes[1]
		key := audit.keys[slices.IndexFunc(audit.keys, func(k shardmap.Key) bool {
			return slices.Contains(audit.serversOf(k), router.index)
		})]
		router.Pause()
		c.Run(c.Now + stall)
		router.Resume()
		if _, serves := router.Core.Shards.Serves(key, router.clock()); serves {
			t.Errorf("stalled for %d ms: serves a key before its contact is known", stall/ms)
		}
		c.Run(c.Now + 100*ms)
		if _, serves := router.Core.Shards.Serves(key, router.clock()); !serves || audit.DoublyServed > 0 {
			t.Errorf("stalled for %d ms: serves its key %v, doubly served %d", stall/ms, serves, audit.DoublyServed)
		}
	}
}

// fillSocket sends a paused router a datagram of no content every 4 ms, like an observer of the cluster.
func (c *Cluster) fillSocket(router *Node) {
	if router.Paused {
		router.receive(router.Address, nil)
		c.At(c.Now+4*ms, func() { c.fillSocket(router) })
	}
}

// A map that an operator pins becomes active when all routers that it names are present. When one of them dies,
// another map is proposed; when that router is back, the pinned map is active again. A pinned map that violates the
// rules on balance is not adopted, and one with a gap is rejected at once.
func TestPinnedShardMap(t *testing.T) {
	c, audit := withShardMaps(3, 4, 0.1)
	pin := func(ends ...shardmap.Key) {
		var ranges []shardmap.Range
		var owners []membership.NodeID
		first := shardmap.Key(0)
		for i, last := range append(ends, shardmap.LastKey) {
			replicas := [shardmap.MaxReplicas]uint16{shardmap.NoOwner, shardmap.NoOwner}
			ranges = append(ranges, shardmap.Range{First: first, Last: last, Owner: uint16(i), Replicas: replicas})
			owners = append(owners, c.Nodes[i].ID())
			first = last + 1
		}
		for _, n := range c.Nodes {
			if n.Running {
				if err := n.Core.Shards.Pin(ranges, owners); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	quarter := shardmap.Key(1) << 62
	ownerOf := func(k shardmap.Key) membership.NodeID {
		m, state := c.Nodes[1].Core.Shards.Map()
		if m == nil || state != shardmap.Active {
			t.Fatalf("router 1 has no active map; its state is %v", state)
		}
		return m.Owners[m.RangeOf(k).Owner].ID
	}
	pinnedActive := func() bool {
		for i := range 4 {
			if ownerOf(shardmap.Key(i)*quarter+5) != c.Nodes[i].ID() {
				return false
			}
		}
		return true
	}
	c.Run(second / 2)
	pin(quarter-1, 2*quarter-1, 3*quarter-1)
	c.Run(10 * second)
	if !pinnedActive() || !audit.Converged() {
		t.Fatal("the pinned map is not active")
	}
	c.Nodes[0].Kill()
	c.Run(c.Now + 10*second)
	if ownerOf(5) == c.Nodes[0].ID() || !audit.Converged() {
		t.Fatal("a dead router owns keys")
	}
	c.Nodes[0].Start()
	c.Run(second/2 + c.Now)
	pin(quarter-1, 2*quarter-1, 3*quarter-1)
	c.Run(c.Now + 15*second)
	if !pinnedActive() || audit.DoublyServed > 0 {
		t.Fatalf("the pinned map is not active again, or keys were doubly served: %d", audit.DoublyServed)
	}
	pin(quarter/2, quarter, quarter+quarter/2) // the last router would own most keys
	c.Run(c.Now + 10*second)
	if !pinnedActive() || !audit.Converged() {
		t.Fatal("a map with too many keys for one router was adopted")
	}
	gap := []shardmap.Range{{First: 1, Last: shardmap.LastKey}}
	err := c.Nodes[1].Core.Shards.Pin(gap, []membership.NodeID{1})
	var invalid *shardmap.ValidationError
	if !errors.As(err, &invalid) || invalid.Rule != shardmap.CoverageGap {
		t.Errorf("a pinned map with a gap: %v", err)
	}
}

// Under random disruptions two routers that can reach each other never serve the same key, each adopted map was
// proposed, and all routers agree on one map in the end.
func TestShardMapsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(2, 7).Draw(rt, "routers")
		seed := rapid.Uint32().Draw(rt, "seed")
		c, audit := withShardMaps(seed, routers, rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"))
		for range rapid.IntRange(2, 9).Draw(rt, "steps") {
			c.Run(c.Now + Micros(rapid.IntRange(10, 5000).Draw(rt, "pause"))*ms)
			router := c.Nodes[rapid.IntRange(0, routers-1).Draw(rt, "router")]
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				router.Kill()
			case 2:
				if !router.Running {
					router.Start()
				}
			case 3:
				router.Pause()
			case 4:
				half := rapid.IntRange(0, routers).Draw(rt, "half")
				c.Blocked = func(a, b int) bool { return (a < half) != (b < half) }
			case 5:
				c.Blocked = nil
			case 6:
				if router.Running && router.Paused {
					router.Resume()
				}
			}
			if audit.DoublyServed > 0 || audit.Unproposed > 0 {
				rt.Fatalf("doubly served %d, unproposed %d", audit.DoublyServed, audit.Unproposed)
			}
		}
		c.Blocked, c.Network = nil, DefaultNetwork(0)
		for _, router := range c.Nodes {
			if router.Paused && router.Running {
				router.Resume()
			}
			if !router.Running {
				router.Start()
			}
		}
		c.Run(c.Now + 40*second)
		if !audit.Converged() || audit.DoublyServed > 0 || audit.Unproposed > 0 {
			rt.Fatalf("converged %v, doubly served %d, unproposed %d", audit.Converged(), audit.DoublyServed, audit.Unproposed)
		}
	})
}
