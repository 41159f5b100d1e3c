package cluster

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/directory"
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Load has visits come to routers, for what they know of objects: by itself it is a model of knowledge alone. With a Service the
// visits are decided by the module in each router, too, and served. Caches run on through all of it.
type Load struct {
	Known, Unknown int // visits
	Stale          int // that went by a recalled copy which a purge had made old half a second before
	ByCopy         int // that could go by a recalled copy
	Recalled       int
	Full           *hdrhistogram.Histogram // ms from a start until what a router knows is what it knew
	NeverFull      int
	BaseKnown      float64  // share of visits whose object was known, before the first trouble
	PeakPages      uint64   // served by one router in one second
	Service        *Service // visits are decided and served; nil: what routers know is all that counts

	c       *Crowd
	perS    int
	sums    []float64 // of weights of objects
	purged  []Micros
	born    []Micros
	heard   []purge // of all, in time
	second  int
	oneOffs int
	all     int // visits in this second
	trouble bool
	pages   map[*Node]uint64
	minds   map[*Node]*mind
}

type purge struct {
	object int
	at     Micros
}

// mind is what one router knows, in one of its lives.
type mind struct {
	known         map[int]bool
	copies        map[int]directory.Copy // recalled, not seen
	purged        map[int]Micros         // heard, by its own clock
	start         int
	began         Micros
	asked, knew   int     // in this second
	share         float64 // of its visits that it knew the object of, lately
	full, counted bool
	heard         int // purges
}

const (
	groupSize = 8
	oneOff    = 20 // one in so many visits is for an object that nobody asks for again
	purgeLate = 300 * clock.Millisecond
	staleFrom = 500 * clock.Millisecond
	fullShare = 0.95
	lately    = 0.5 // weight of one second
)

// Visits has so many visits a second come to each router, for so many objects; recall: routers bring themselves back from rows. It is
// called before the first event.
func (c *Crowd) Visits(objects, perS int, recall bool) *Load {
	l := &Load{c: c, perS: perS, purged: make([]Micros, objects), born: make([]Micros, objects), minds: map[*Node]*mind{},
		pages: map[*Node]uint64{}, Full: hdrhistogram.New(1, 600_000, 3)}
	sum := 0.0
	for i := range objects {
		sum += math.Pow(float64(i+1), -0.9)
		l.sums = append(l.sums, sum)
	}
	c.Load, c.Whole, c.Parts.ShardMap, c.Parts.Directory, c.Parts.Recovery = l, true, true, recall, recall
	var each func()
	each = func() {
		l.each()
		c.At(c.Now+clock.Second, each)
	}
	c.At(clock.Second, each)
	return l
}

// group has few objects of many groups side by side: most sites hold none of one.
func groupOf(object int) directory.Group { return directory.Group(1 + object/groupSize) }

func key(object int) shardmap.Key { return shardmap.Key(hash.Combine(uint64(object), 77)) }

// Trouble says that from now on peaks count, and routers that start are timed.
func (l *Load) Trouble() { l.trouble = true }

// started gives a router that has started an empty mind, and has its visits come.
func (l *Load) started(n *Node) {
	m := &mind{known: map[int]bool{}, copies: map[int]directory.Copy{}, purged: map[int]Micros{}, start: n.start, began: l.c.Now, counted: l.trouble}
	l.minds[n] = m
	if l.Service != nil {
		l.Service.started(n)
	}
	if l.trouble {
		l.NeverFull++
	}
	gap := clock.Second / Micros(l.perS)
	var visit func()
	visit = func() {
		if n.Up && n.start == m.start {
			if !n.Stopped {
				l.visit(n, m)
			}
			l.c.At(l.c.Now+gap, visit)
		}
	}
	l.c.At(l.c.Now+Micros(l.c.chance.IntN(int(gap))), visit)
}

func (l *Load) visit(n *Node, m *mind) {
	for ; m.heard < len(l.heard) && l.c.Now-l.heard[m.heard].at >= purgeLate; m.heard++ {
		p := l.heard[m.heard]
		m.purged[p.object] = p.at + n.skew
		if x, ok := m.copies[p.object]; ok && x.CreatedAt <= p.at+n.skew {
			delete(m.copies, p.object)
		}
		if n.Tier.Directory != nil {
			n.Tier.Directory.ObservePurge(n.clock(), key(p.object), 0, p.at+n.skew)
		}
		if l.Service != nil {
			l.Service.purged(n, p.object, p.at)
		}
	}
	n.Tier.PurgesCaughtUp = l.c.Now-m.began >= staleFrom
	m.asked++
	l.all++
	if l.c.chance.IntN(oneOff) == 0 {
		l.Unknown++
		l.second++
		if l.Service != nil {
			l.oneOffs++
			l.Service.visit(n, len(l.sums)+l.oneOffs)
		}
		return
	}
	o := sort.SearchFloat64s(l.sums, l.c.chance.Float64()*l.sums[len(l.sums)-1])
	if o = min(o, len(l.sums)-1); m.known[o] {
		l.Known++
		m.knew++
	} else {
		l.Unknown++
		l.second++
		m.known[o] = true
	}
	if x, ok := m.copies[o]; ok && n.Tier.Recovery.Permissions().UseCopies {
		l.ByCopy++
		if x.CreatedAt <= l.purged[o]+n.skew && l.purged[o] > 0 && l.c.Now-l.purged[o] > staleFrom {
			l.Stale++
		}
		delete(m.copies, o)
	}
	if l.Service != nil {
		l.Service.visit(n, o)
	} else if n.Tier.Directory != nil {
		now := n.clock()
		if l.born[o] <= l.purged[o] { // this visit's fill
			l.born[o] = l.c.Now
		}
		n.Tier.Directory.ObserveRequest(now, directory.Record{Key: key(o), SizeKB: uint32(o), Group: groupOf(o), RequestGap: clock.Second,
			Copies: [directory.MaxCopies]directory.Copy{{Cache: directory.CacheInstance(1 + o%12), LastSeen: now, CreatedAt: l.born[o] + n.skew}}})
	}
}

// recalled takes a row that a router has got back.
func (l *Load) recalled(n *Node, r directory.Record) {
	l.Recalled++
	if o := int(r.SizeKB); o < len(l.sums) && key(o) == r.Key {
		m := l.minds[n]
		m.known[o] = true
		if x := r.Copies[0]; x.Cache != 0 && x.CreatedAt > m.purged[o] {
			m.copies[o] = x
		}
		if l.Service != nil {
			l.Service.recalled(n, o, r)
		}
	}
}

// each closes a second.
func (l *Load) each() {
	if !l.trouble && l.all > 0 {
		l.BaseKnown += lately * (1 - float64(l.second)/float64(l.all) - l.BaseKnown)
	}
	l.all = 0
	l.second = 0
	for _, n := range l.c.Nodes {
		m := l.minds[n]
		if m == nil || !n.Up || m.start != n.start {
			continue
		}
		if n.Tier.Recovery != nil {
			y := n.Tier.Recovery.Stats().PagesServed
			l.PeakPages = max(l.PeakPages, y-min(l.pages[n], y))
			l.pages[n] = y
		}
		if m.asked > 0 {
			m.share += lately * (float64(m.knew)/float64(m.asked) - m.share)
		}
		if m.counted && !m.full && m.share >= fullShare*l.BaseKnown {
			m.full = true
			l.NeverFull--
			_ = l.Full.RecordValue(int64((l.c.Now - m.began) / clock.Millisecond))
		}
		m.asked, m.knew = 0, 0
	}
	// One object a second is purged: its copies up to now are old.
	o := l.c.chance.IntN(len(l.sums))
	l.purged[o] = l.c.Now
	l.heard = append(l.heard, purge{o, l.c.Now})
	if l.Service != nil {
		l.Service.Town.Purge(o)
		l.Service.each()
	}
}

// Back counts the running routers in a state of coming back.
func (l *Load) Back(state recovery.State) (k int) {
	for _, n := range l.c.Nodes {
		if n.Up && n.Tier.Recovery != nil && n.Tier.Recovery.State() == state {
			k++
		}
	}
	return k
}
