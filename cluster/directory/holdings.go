// Package holdings keeps what the fleet knows of objects, row by row: each router tells the keepers of a row, and those who stand by,
// what it has seen; keepers merge what they are told. Free of I/O: time, sightings, purges, maps and datagrams go in,
// datagrams come out.
//
// How it is called: New makes one router's part. Saw tells of a visit's outcome, Purged of a purge, Map of the map of keys. Tick is
// called some tens of times a second, Hear with each datagram. Find, Hottest and Each read.
//
// How it is merged: rates of routers add. The gap is that of one router, which is what a newcomer's own figure would come to: the rate of all
// visits told of, over the routers that keep rows. A router of hundreds may see an object once in minutes and know no gap at all; all together
// do. The newer sighting of a copy wins; a purge drops what is older and leaves a mark for as long as such a copy could come up again.
// Times travel as ages, so clocks need not agree.
//
// What may be lost: news that has not been told yet when a router dies (a second or so, newest told first), and all of a row
// when its keeper, the first that stands by and all that told of it die within the time that a new keeper takes to be told (ReplayEvery).
package directory

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/tidwall/btree"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// UnknownGap stands for the gap of an object that was seen once.
const UnknownGap = 60 * clock.Minute

const (
	tellEvery = 100 * clock.Millisecond
	// ReplayEvery is how often a router tells of an object again that it goes on seeing: a new keeper has its rows by then.
	ReplayEvery = 5 * clock.Second
	burst       = 16.0
	tendEvery   = clock.Second
	teachMost   = 32 // rows handed over at a time
	purgeKeep   = 5 * clock.Minute
	gapMost     = UnknownGap
	rateOver    = clock.Minute // visits longer ago weigh little in a rate
)

// held is a row with what it rests on.
type held struct {
	Record
	past  [MaxCopies]Copy // that purges have made old: caches drop them in their own time
	near  bool            // only this router itself has told of it
	rate  float64         // visits a second at all routers, as of rated
	rated Micros
	began Micros // of counting
}

// count enters visits that a router told of, and gives the gap of one of so many routers. The first telling only starts the clock.
func (x *held) count(now Micros, visits float64, routers int) Micros {
	x.rate = x.rate*math.Exp(-(now-x.rated).Seconds()/rateOver.Seconds()) + visits/rateOver.Seconds()
	x.rated = now
	seen := 1 - math.Exp(-max(now-x.began, ReplayEvery).Seconds()/rateOver.Seconds())
	return gapOf(float64(routers) * seen / x.rate)
}

// settle takes a gap over as it is, as if it had been counted for long.
func (x *held) settle(now, gap Micros, routers int) {
	x.RequestGap, x.rate, x.rated, x.began = gap, float64(routers)/gap.Seconds(), now, now-4*rateOver
}

func gapOf(seconds float64) Micros {
	return Micros(min(max(seconds*float64(clock.Second), 1), float64(gapMost)))
}

// news is what this router has seen of an object since it told of it last.
type news struct {
	Record
	at     Micros // the last visit
	told   Micros
	first  Micros
	n      uint32 // visits since first
	queued bool
}

// Directory is one router's part.
type Directory struct {
	self    membership.NodeID
	life    membership.Incarnation
	post    Output
	bounds  Bounds
	now     Micros
	rows    map[shardmap.Key]*held
	hot     btree.BTreeG[*held] // by gap, the most asked first
	own     map[shardmap.Key]*news
	queue   []shardmap.Key // own, that have news, the newest last
	purges  map[Group]Micros
	objects map[shardmap.Key]Micros // purges of single objects
	m       *shardmap.Map
	seat    func(membership.NodeID) (netip.AddrPort, bool)
	teach   []shardmap.Key // rows whose keepers are others now
	tokens  float64
	filled  Micros
	ticked  Micros
	tended  Micros
	full    bool
	tally   Stats
	buf     [MaxPayload + rowMost]byte
}

// New makes the part of a router. Seat tells where a router is reached.
func New(now Micros, self shardmap.Owner, post Output, bounds Bounds, seat func(membership.NodeID) (netip.AddrPort, bool)) *Directory {
	h := &Directory{self: self.ID, life: self.Incarnation, post: post, bounds: bounds, now: now, rows: map[shardmap.Key]*held{},
		own: map[shardmap.Key]*news{}, purges: map[Group]Micros{}, objects: map[shardmap.Key]Micros{}, seat: seat, tokens: burst,
		filled: now, ticked: now, tended: now}
	h.hot = *btree.NewBTreeGOptions(hotter, btree.Options{NoLocks: true})
	return h
}

func hotter(a, b *held) bool {
	return cmp.Or(cmp.Compare(a.RequestGap, b.RequestGap), cmp.Compare(a.Key, b.Key)) < 0
}

// ObserveRequest tells of a visit that was answered: which object, and, where a copy was seen, at which cache and how old.
func (h *Directory) ObserveRequest(now Micros, r Record) {
	h.now = max(h.now, now)
	x := h.own[r.Key]
	if x == nil {
		if len(h.own) >= 2*h.bounds.Pending {
			h.tally.Overrun++
			return
		}
		x = &news{Record: r, first: now}
		h.own[r.Key] = x
	}
	if x.n++; x.n == 1 && x.told > 0 {
		x.first = x.told
	}
	x.Group, x.Class, x.SizeKB, x.UpdatesPerSecond = r.Group, r.Class, r.SizeKB, r.UpdatesPerSecond
	x.at = h.now
	if r.Copies[0].Cache != 0 {
		sight(&x.Record, r.Copies[0])
	}
	if !x.queued && (x.told == 0 || h.now-x.told >= ReplayEvery) {
		x.queued = true
		h.enqueue(r.Key)
	}
}

func (h *Directory) enqueue(k shardmap.Key) {
	if len(h.queue) >= h.bounds.Pending {
		if x := h.own[h.queue[0]]; x != nil {
			x.queued = false
		}
		h.queue = h.queue[1:]
		h.tally.Overrun++
	}
	h.queue = append(h.queue, k)
}

// sight enters a copy: the newer sighting of one cache wins, then those that were seen last stay.
func sight(r *Record, c Copy) {
	at := 0
	for i := range r.Copies {
		if r.Copies[i].Cache == c.Cache {
			if c.LastSeen >= r.Copies[i].LastSeen {
				r.Copies[i] = c
			}
			return
		}
		if r.Copies[i].LastSeen < r.Copies[at].LastSeen {
			at = i
		}
	}
	if r.Copies[at].Cache == 0 || r.Copies[at].LastSeen < c.LastSeen {
		r.Copies[at] = c
	}
}

// ObservePurge tells of a purge: copies that are older are gone, and any that is told of later.
func (h *Directory) ObservePurge(now Micros, k shardmap.Key, g Group, at Micros) {
	h.now = max(h.now, now)
	if g != 0 {
		h.purges[g] = max(h.purges[g], at)
	} else {
		h.objects[k] = max(h.objects[k], at)
	}
	for _, x := range h.rows {
		if g != 0 && x.Group == g || g == 0 && x.Key == k {
			h.outdate(x)
		}
	}
	for _, x := range h.own {
		if g != 0 && x.Group == g || g == 0 && x.Key == k {
			h.cut(&x.Record)
		}
	}
}

// EachCreatedBefore calls f for rows of a group with copies made by a time and no others, those that a purge has made old since among them.
func (h *Directory) EachCreatedBefore(g Group, before Micros, f func(*Record) bool) {
	for _, x := range h.rows {
		if x.Group != g {
			continue
		}
		r := x.Record
		r.Copies = [MaxCopies]Copy{}
		for _, list := range [...]*[MaxCopies]Copy{&x.Copies, &x.past} {
			for _, c := range list {
				if c.Cache != 0 && c.CreatedAt <= before && h.now-c.LastSeen < purgeKeep {
					sight(&r, c)
				}
			}
		}
		if r.Copies != ([MaxCopies]Copy{}) && !f(&r) {
			return
		}
	}
}

// since is the last purge that a row's copies must be younger than.
func (h *Directory) since(r *Record) Micros {
	at := h.objects[r.Key]
	if r.Group != 0 {
		at = max(at, h.purges[r.Group])
	}
	return at
}

// outdate cuts a row that is kept, and remembers what it cut.
func (h *Directory) outdate(x *held) {
	was := x.Copies
	h.cut(&x.Record)
	for i, c := range was {
		if c.Cache != 0 && x.Copies[i].Cache == 0 {
			past := Record{Copies: x.past}
			sight(&past, c)
			x.past = past.Copies
		}
	}
}

// cut drops the copies of a row that a purge has made old.
func (h *Directory) cut(r *Record) {
	at := h.since(r)
	for i := range r.Copies {
		if c := &r.Copies[i]; c.Cache != 0 && at > 0 && c.CreatedAt <= at {
			*c = Copy{}
			h.tally.Purged++
		}
	}
}

// SetShardMap takes a map: rows that others keep now are handed to them.
func (h *Directory) SetShardMap(now Micros, m *shardmap.Map) {
	h.now = max(h.now, now)
	old := h.m
	if h.m = m; m == nil || old == nil {
		return
	}
	for k := range h.rows {
		if r, was := m.RangeOf(k), old.RangeOf(k); m.Owners[r.Owner] != old.Owners[was.Owner] {
			h.teach = append(h.teach, k)
		}
	}
	slices.SortFunc(h.teach, func(a, b shardmap.Key) int { // the most asked first
		x, y := h.rows[a], h.rows[b]
		if x == nil || y == nil {
			return cmp.Compare(a, b)
		}
		return cmp.Or(cmp.Compare(x.RequestGap, y.RequestGap), cmp.Compare(a, b))
	})
	h.teach = slices.Compact(h.teach)
}

// Owns tells whether a key is this router's to keep by the map.
func (h *Directory) Owns(k shardmap.Key) bool {
	return h.m != nil && h.m.Owners[h.m.RangeOf(k).Owner] == (shardmap.Owner{ID: h.self, Incarnation: h.life})
}

// keeps tells whether this router keeps a key or stands by.
func (h *Directory) keeps(k shardmap.Key) bool {
	if h.m == nil {
		return false
	}
	r := h.m.RangeOf(k)
	for _, at := range [...]uint16{r.Owner, r.Replicas[0], r.Replicas[1]} {
		if at != shardmap.NoOwner && h.m.Owners[at] == (shardmap.Owner{ID: h.self, Incarnation: h.life}) {
			return true
		}
	}
	return false
}

// told tells whether this router is one of those whom news of a key is told: its keeper, or the first that stands by.
func (h *Directory) told(k shardmap.Key) bool {
	r := h.m.RangeOf(k)
	for _, at := range [...]uint16{r.Owner, r.Replicas[0]} {
		if at != shardmap.NoOwner && h.m.Owners[at].ID == h.self {
			return true
		}
	}
	return false
}

// Lookup gives a row, as it is known here.
func (h *Directory) Lookup(k shardmap.Key) (Record, bool) {
	if x := h.rows[k]; x != nil {
		return x.Record, true
	}
	return Record{}, false
}

// Each calls f for every row, in no order, until it says no.
func (h *Directory) Each(f func(*Record) bool) {
	for _, x := range h.rows {
		if !f(&x.Record) {
			return
		}
	}
}

// Hottest calls f for rows, the most asked first, until it says no.
func (h *Directory) Hottest(f func(*Record) bool) {
	h.hot.Scan(func(x *held) bool { return f(&x.Record) })
}

// HottestReported calls f for those of them that others have told this router, the most asked first, until it says no.
func (h *Directory) HottestReported(f func(*Record) bool) {
	h.hot.Scan(func(x *held) bool { return x.near || f(&x.Record) })
}

// Len is how many rows are kept.
func (h *Directory) Len() int { return len(h.rows) }

// Stats counts what has happened.
func (h *Directory) Stats() Stats { return h.tally }

// Merge merges a row that was told, by a router or as a whole by who kept it.
func (h *Directory) Merge(now Micros, r Record, whole bool) {
	h.now = max(h.now, now)
	h.cut(&r)
	x := h.rows[r.Key]
	if x == nil {
		if len(h.rows) >= h.bounds.Rows && !h.evict(r.RequestGap) {
			h.tally.Dropped++
			return
		}
		x = &held{Record: r, rated: h.now, began: h.now}
		if x.Reports = max(x.Reports, 1); whole && r.RequestGap < UnknownGap {
			x.settle(h.now, r.RequestGap, h.routers())
		}
		h.rows[r.Key] = x
		h.hot.Set(x)
		h.tally.Taken++
		return
	}
	h.hot.Delete(x)
	x.near = x.near && whole
	switch {
	case whole && (r.UpdatedAt < x.UpdatedAt || r.RequestGap >= UnknownGap): // an older whole adds nothing but copies
	case whole:
		x.settle(h.now, r.RequestGap, h.routers())
		x.Reports = max(r.Reports, 1)
	default:
		x.RequestGap = x.count(h.now, float64(max(r.Reports, 1)), h.routers())
		x.Reports = min(x.Reports, 254) + 1
	}
	if r.UpdatedAt >= x.UpdatedAt {
		x.Group, x.Class, x.SizeKB, x.UpdatesPerSecond = r.Group, r.Class, r.SizeKB, r.UpdatesPerSecond
	}
	x.LastRequest, x.UpdatedAt = max(x.LastRequest, r.LastRequest), max(x.UpdatedAt, r.UpdatedAt)
	for _, c := range r.Copies {
		if c.Cache != 0 {
			sight(&x.Record, c)
		}
	}
	h.outdate(x) // its group may be another now
	h.hot.Set(x)
	h.tally.Taken++
}

// routers is how many tell of rows: those that the map names.
func (h *Directory) routers() int {
	if h.m == nil {
		return 1
	}
	return max(len(h.m.Owners), 1)
}

// evict makes room for a row by dropping the least asked, if that is asked less.
func (h *Directory) evict(gap Micros) bool {
	last, ok := h.hot.Max()
	if !ok || last.RequestGap <= gap {
		return false
	}
	h.drop(last)
	h.tally.Dropped++
	if !h.full {
		h.full = true
		h.post.Note("holdings: rows take all their room, the least asked are dropped")
	}
	return true
}

func (h *Directory) drop(x *held) {
	h.hot.Delete(x)
	delete(h.rows, x.Key)
}

// Tick tells what there is to tell, within what may be sent.
func (h *Directory) Tick(now Micros) {
	h.now = max(h.now, now)
	h.tokens = min(h.tokens+(h.now-h.filled).Seconds()*h.bounds.PerS, burst)
	h.filled = h.now
	if h.now-h.tended >= tendEvery {
		h.tended = h.now
		h.tend()
	}
	if h.m == nil || h.now-h.ticked < tellEvery {
		return
	}
	h.ticked = h.now
	h.handOver()
	h.tell()
}

// tend drops what has been of no use for long.
func (h *Directory) tend() {
	for _, x := range h.rows {
		if h.now-x.UpdatedAt > h.bounds.Keep {
			h.drop(x)
		}
	}
	for k, x := range h.own {
		if h.now-x.at > gapMost {
			delete(h.own, k)
		}
	}
	for g, at := range h.purges {
		if h.now-at > purgeKeep {
			delete(h.purges, g)
		}
	}
	for k, at := range h.objects {
		if h.now-at > purgeKeep {
			delete(h.objects, k)
		}
	}
}

// tell sends own news to those who keep them, the newest first; news for one router goes together.
func (h *Directory) tell() {
	for h.tokens >= 1 && len(h.queue) > 0 {
		k := h.queue[len(h.queue)-1]
		r := h.m.RangeOf(k)
		var tell []shardmap.Key
		for i := len(h.queue) - 1; i >= 0 && len(tell) < rowsMost; i-- {
			if x := h.m.RangeOf(h.queue[i]); x.Owner == r.Owner {
				tell = append(tell, h.queue[i])
			}
		}
		// Where nobody is there for one, it is told again when it is seen again.
		done := tell[:max(h.send(h.m.Owners[r.Owner].ID, tell, false), 1)]
		if at := r.Replicas[0]; at != shardmap.NoOwner { // less may fit, where two go to one
			h.send(h.m.Owners[at].ID, done, false)
		}
		h.queue = slices.DeleteFunc(h.queue, func(k shardmap.Key) bool { return slices.Contains(done, k) })
		for _, k := range done {
			if x := h.own[k]; x != nil {
				if !h.told(k) { // kept near as well: most keepers may be gone when many come back
					_, known := h.rows[k]
					if h.Merge(h.now, x.row(h.now), true); !known && h.rows[k] != nil {
						h.rows[k].near = true
					}
				}
				x.told, x.n, x.queued = h.now, 0, false
			}
			h.tally.Told++
		}
	}
}

// handOver tells keepers of a new map what this router has kept for them.
func (h *Directory) handOver() {
	for n := 0; n < teachMost && h.tokens >= burst/2 && len(h.teach) > 0; n++ {
		k := h.teach[0]
		r := h.m.RangeOf(k)
		var tell []shardmap.Key
		for _, o := range h.teach[:min(len(h.teach), 4*rowsMost)] {
			if h.m.RangeOf(o).Owner == r.Owner && len(tell) < rowsMost {
				tell = append(tell, o)
			}
		}
		sent := max(h.send(h.m.Owners[r.Owner].ID, tell, true), 1)
		done := tell[:min(sent, len(tell))]
		h.teach = slices.DeleteFunc(h.teach, func(k shardmap.Key) bool { return slices.Contains(done, k) })
		for _, k := range done {
			if x := h.rows[k]; x != nil && !h.keeps(k) && h.own[k] == nil {
				h.drop(x)
			}
		}
	}
}

// row gives what this router tells of an object: its own rate, and what it has seen of copies.
func (x *news) row(now Micros) Record {
	r := x.Record
	r.LastRequest, r.UpdatedAt, r.Reports = x.at, now, uint8(min(max(x.n, 1), math.MaxUint8))
	if r.RequestGap == 0 {
		r.RequestGap = gapMost
	}
	if n := Micros(x.n); n > 1 {
		r.RequestGap = max((x.at-x.first)/(n-1), 1)
	}
	return r
}
