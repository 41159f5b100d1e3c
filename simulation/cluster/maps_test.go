package cluster

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
)

func mapped(seed uint32, routers int, loss float64) (*Crowd, *MapBook) {
	c := New(seed, routers, 0, lease.Partitions{Refresh: 16}, OrdinaryWay(loss), turn)
	return c, c.WatchMaps()
}

// Routers start, seven in ten die at once and come back: one map is left each time, no key ever has two keepers that answer.
func TestMapsThroughAMassDeath(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		c, b := mapped(9, 20, loss)
		b.Trouble()
		c.Run(15 * second)
		if !b.Agreed() {
			t.Fatalf("loss %v: no map in force everywhere at the start", loss)
		}
		c.At(c.Now, b.Trouble)
		c.KillShare(0.7, c.Now, 4*second)
		c.Run(c.Now + 30*second)
		if !b.Agreed() || b.Twice > 0 || b.Mixed > 0 || b.Late > 0 {
			t.Errorf("loss %v: agreed %v, twice %d, mixed %d, uncovered late %d", loss, b.Agreed(), b.Twice, b.Mixed, b.Late)
		}
	}
}

// A split: each side answers for all keys by a map of its own, and one map is left after the healing.
func TestMapsThroughASplit(t *testing.T) {
	c, b := mapped(4, 16, 0.1)
	c.Run(15 * second)
	c.Split(c.Now, 12*second)
	c.Run(c.Now + 11*second)
	sides := map[shardmap.Version]bool{}
	for _, n := range c.Nodes {
		if m, state := n.Tier.Shards.Map(); state == shardmap.Active {
			sides[m.Version] = true
		}
	}
	if len(sides) != 2 {
		t.Errorf("%d maps in force in the split", len(sides))
	}
	b.Trouble()
	c.Run(c.Now + 20*second)
	if !b.Agreed() || b.Twice > 0 || b.Mixed > 0 {
		t.Errorf("agreed %v, twice %d, mixed %d", b.Agreed(), b.Twice, b.Mixed)
	}
}

// A keeper that is stopped for five seconds and goes on under a map that has passed answers for nothing.
func TestStoppedKeeper(t *testing.T) {
	c, b := mapped(6, 8, 0)
	c.Run(15 * second)
	x := c.Nodes[2]
	x.Stop()
	c.Run(c.Now + 5*second)
	for _, k := range b.keys {
		if _, yes := x.Tier.Shards.Serves(k, x.clock()); yes {
			t.Fatal("it answers before its first tick")
		}
	}
	x.Go()
	c.Run(c.Now + 10*second)
	if b.Twice > 0 || !b.Agreed() {
		t.Errorf("twice %d, agreed %v", b.Twice, b.Agreed())
	}
}

// A map that the operator has written comes into force where all that it names are there; when one is gone another is made, and when it is
// back the operator's stands again. One that moves too much goes by the same rules, and is not taken.
func TestPinnedMap(t *testing.T) {
	c, b := mapped(3, 4, 0.1)
	pin := func(parts ...shardmap.Key) {
		var ranges []shardmap.Range
		var keepers []membership.NodeID
		first := shardmap.Key(0)
		for i, last := range append(parts, shardmap.LastKey) {
			ranges = append(ranges, shardmap.Range{First: first, Last: last, Owner: uint16(i), Replicas: [shardmap.MaxReplicas]uint16{shardmap.NoOwner, shardmap.NoOwner}})
			keepers = append(keepers, c.Nodes[i].Mark())
			first = last + 1
		}
		for _, n := range c.Nodes {
			if n.Up {
				if why := n.Tier.Shards.Pin(ranges, keepers); why != nil {
					t.Fatal(why)
				}
			}
		}
	}
	quarter := shardmap.Key(1) << 62
	by := func(k shardmap.Key) membership.NodeID {
		m, state := c.Nodes[1].Tier.Shards.Map()
		if m == nil || state != shardmap.Active {
			t.Fatalf("%v", state)
		}
		return m.Owners[m.RangeOf(k).Owner].ID
	}
	stands := func() bool {
		for i := range 4 {
			if by(shardmap.Key(i)*quarter+5) != c.Nodes[i].Mark() {
				return false
			}
		}
		return true
	}
	c.Run(second / 2)
	pin(quarter-1, 2*quarter-1, 3*quarter-1)
	c.Run(10 * second)
	if !stands() || !b.Agreed() {
		t.Fatal("the operator's map does not stand")
	}
	c.Nodes[0].Kill()
	c.Run(c.Now + 10*second)
	if by(5) == c.Nodes[0].Mark() || !b.Agreed() {
		t.Fatal("a dead router keeps keys")
	}
	c.Nodes[0].Start()
	c.Run(second/2 + c.Now)
	pin(quarter-1, 2*quarter-1, 3*quarter-1)
	c.Run(c.Now + 15*second)
	if !stands() || b.Twice > 0 {
		t.Fatalf("it does not stand again; twice %d", b.Twice)
	}
	pin(quarter/2, quarter, quarter+quarter/2) // the last would have most of the keys
	c.Run(c.Now + 10*second)
	if !stands() || !b.Agreed() {
		t.Fatal("a map with too much for one was taken")
	}
	err := c.Nodes[1].Tier.Shards.Pin([]shardmap.Range{{First: 1, Last: shardmap.LastKey}}, []membership.NodeID{1})
	var invalid *shardmap.ValidationError
	if !errors.As(err, &invalid) || invalid.Rule != shardmap.CoverageGap {
		t.Errorf("%v", err)
	}
}

// Random troubles: never two that answer for a key, never a map that nobody made, and one map once all is quiet.
func TestMapsAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(rt, "routers")
		c, b := mapped(rapid.Uint32().Draw(rt, "seed"), n, rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"))
		for range rapid.IntRange(2, 9).Draw(rt, "steps") {
			c.Run(c.Now + Micros(rapid.IntRange(10, 5000).Draw(rt, "pause"))*ms)
			x := c.Nodes[rapid.IntRange(0, n-1).Draw(rt, "router")]
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				x.Kill()
			case 2:
				if !x.Up {
					x.Start()
				}
			case 3:
				x.Stop()
			case 4:
				half := rapid.IntRange(0, n).Draw(rt, "half")
				c.Cut = func(a, b int) bool { return (a < half) != (b < half) }
			case 5:
				c.Cut = nil
			case 6:
				if x.Up && x.Stopped {
					x.Go()
				}
			}
			if b.Twice > 0 || b.Mixed > 0 {
				rt.Fatalf("twice %d, mixed %d", b.Twice, b.Mixed)
			}
		}
		c.Cut, c.Way = nil, OrdinaryWay(0)
		for _, x := range c.Nodes {
			if x.Stopped && x.Up {
				x.Go()
			}
			if !x.Up {
				x.Start()
			}
		}
		c.Run(c.Now + 40*second)
		if !b.Agreed() || b.Twice > 0 || b.Mixed > 0 {
			rt.Fatalf("agreed %v, twice %d, mixed %d", b.Agreed(), b.Twice, b.Mixed)
		}
	})
}
