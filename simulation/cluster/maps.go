package cluster

import (
	"net/netip"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/directory"
	"threadrun/cluster/node"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// MapBook counts what routers do with maps as someone would who sees all of them.
type MapBook struct {
	Proposed  map[shardmap.Digest]*shardmap.Map // that a router has made
	Mixed     int                               // gone by, and made by nobody
	Twice     int                               // looks at a key for which two answered that could hear each other
	TwiceHeal int                               // of them, within HealMost of a split's healing: not counted in Twice
	Looks     int
	Uncovered int                     // looks at a key for which nobody answered
	Late      int                     // of them, beyond CalmMost after the last trouble
	Agree     *hdrhistogram.Histogram // ms from a trouble until all that run go by one map in force

	c        *Crowd
	keys     []shardmap.Key
	trouble  Micros
	healed   Micros
	cut      bool
	agreed   bool
	watching bool
}

const (
	// HealMost is how long two may answer after a split has healed: until each has heard of the higher map.
	HealMost = 5 * clock.Second
	// CalmMost is how long after a trouble a key may have nobody that answers for it.
	CalmMost  = 20 * clock.Second
	lookEvery = 50 * clock.Millisecond
	keysSeen  = 48
)

// WatchMaps has maps played and watched. It is called before the first event.
func (c *Crowd) WatchMaps() *MapBook {
	b := &MapBook{Proposed: map[shardmap.Digest]*shardmap.Map{}, Agree: hdrhistogram.New(1, 600_000, 3), c: c}
	c.Whole, c.Maps, c.Parts.ShardMap = true, b, true
	b.keys = append(b.keys, 0, shardmap.LastKey)
	for range keysSeen {
		b.keys = append(b.keys, shardmap.Key(c.chance.Uint64()))
	}
	var look func()
	look = func() {
		b.look()
		c.At(c.Now+lookEvery, look)
	}
	c.At(lookEvery, look)
	return b
}

// Trouble notes that something has happened: from now on agreement is timed.
func (b *MapBook) Trouble() { b.trouble, b.agreed, b.watching = b.c.Now, false, true }

// look looks at some keys, and the ends of the ranges of one router's map.
func (b *MapBook) look() {
	c := b.c
	if cut := c.Cut != nil; b.cut && !cut {
		b.healed = c.Now
		b.cut = cut
	} else {
		b.cut = cut
	}
	keys := b.keys
	if n := c.Nodes[c.chance.IntN(len(c.Nodes))]; n.Up && n.Tier != nil {
		if m, _ := n.Tier.Shards.Map(); m != nil {
			r := m.Ranges[c.chance.IntN(len(m.Ranges))]
			keys = append(keys[:len(keys):len(keys)], r.First, r.Last)
		}
	}
	for _, k := range keys {
		var by []int
		for i, n := range c.Nodes {
			if n.Up && !n.Stopped && n.Tier != nil {
				if _, yes := n.Tier.Shards.Serves(k, n.clock()); yes {
					by = append(by, i)
				}
			}
		}
		b.Looks++
		if len(by) == 0 {
			b.Uncovered++
			if c.Now-b.trouble > CalmMost {
				b.Late++
			}
		}
		for i := range by {
			for _, o := range by[:i] {
				if c.Cut != nil && (c.Cut(by[i], o) || c.Cut(o, by[i])) {
					continue
				}
				if b.healed > 0 && c.Now-b.healed < HealMost {
					b.TwiceHeal++
				} else {
					b.Twice++
				}
			}
		}
	}
	if b.watching && !b.agreed && b.Agreed() {
		b.agreed = true
		_ = b.Agree.RecordValue(int64((c.Now - b.trouble) / clock.Millisecond))
	}
}

// Agreed tells whether all that run go by one map, in force, that names them and no others.
func (b *MapBook) Agreed() bool {
	var v shardmap.Version
	n := 0
	for _, x := range b.c.Nodes {
		if !x.Up || x.Stopped || x.Tier == nil {
			continue
		}
		m, state := x.Tier.Shards.Map()
		self := x.Members.Self()
		if m == nil || state != shardmap.Active || v != (shardmap.Version{}) && m.Version != v ||
			m.OwnerIndex(shardmap.Owner{ID: self.ID, Incarnation: self.Incarnation}) == shardmap.NoOwner {
			return false
		}
		v = m.Version
		n++
	}
	for _, x := range b.c.Nodes {
		if x.Up && !x.Stopped && x.Tier != nil {
			m, _ := x.Tier.Shards.Map()
			return len(m.Owners) == n
		}
	}
	return false
}

// tierPost takes what a router's part in the tier gives out.
type tierPost struct{ *post }

func (p tierPost) Send(k node.Kind, to netip.AddrPort, b []byte) { p.send(byte(k), to, b) }

func (p tierPost) ShardMapChanged(m *shardmap.Map, state shardmap.State) {
	book := p.n.crowd.Maps
	if book == nil {
		return
	}
	if made := book.Proposed[m.Digest]; made == nil {
		if p.n.Tier == nil || !p.n.Tier.Shards.IsProposer(m.Digest) {
			book.Mixed++
			return
		}
		book.Proposed[m.Digest] = m
	}
}

func (p tierPost) RecordRecovered(r directory.Record) { p.n.crowd.Load.recalled(p.n, r) }

func (p tierPost) RecoveryChanged(recovery.State) {}

func (p tierPost) QueryDone(no uint32, r scatter.Result) {
	if a := p.n.crowd.Asks; a != nil {
		a.found(p.n, no, r)
	}
}

func (p tierPost) PurgeAudited(purgeaudit.Finding) {}

func (p tierPost) CopiesLocated(k shardmap.Key, copies []directory.Copy) {
	if l := p.n.crowd.Load; l != nil && l.Service != nil {
		l.Service.held(p.n, k, copies)
	}
}
