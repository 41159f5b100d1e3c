package directory

import (
	"log/slog"
	"net/netip"

	"github.com/tidwall/btree"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Output takes what comes out. It is called only from within calls of Directory.
type Output interface {
	Send(to netip.AddrPort, b []byte)       // b is valid within the call only
	Log(message string, attrs ...slog.Attr) // writes a log line: a constant message and its fields
}

// Bounds are what a router gives to records.
type Bounds struct {
	Records            int     // held for others
	PendingReports     int     // that wait to be sent
	DatagramsPerSecond float64 // sent, whatever the size of the fleet
	Retention          Micros  // a record that nobody has reported for so long is dropped
}

// DefaultBounds take about 3 MB.
var DefaultBounds = Bounds{
	Records:            16384,
	PendingReports:     2048,
	DatagramsPerSecond: 8,
	Retention:          10 * clock.Minute,
}

// Stats counts what has happened since the start.
type Stats struct {
	Reported       uint64 // records reported to owners
	Merged         uint64 // records merged here
	DatagramsSent  uint64
	Evicted        uint64 // records that found no space or were the least requested
	ReportsDropped uint64 // before they could be sent
	CopiesPurged   uint64
	Unreadable     uint64 // datagrams
	Misdirected    uint64 // records that this router neither owns nor replicates
}

const (
	burstDatagrams = 16.0 // that may be sent at once after a silence
	reportInterval = 100 * clock.Millisecond
	expireInterval = clock.Second
)

// Directory is one router's part.
type Directory struct {
	self   shardmap.Owner
	output Output
	bounds Bounds
	now    Micros
	stats  Stats

	entries   map[shardmap.Key]*entry // held for others
	byGap     btree.BTreeG[*entry]    // the most requested first
	fullNoted bool                    // it was logged that there is no space for more entries

	observations map[shardmap.Key]*observation // this router's own
	reportQueue  []shardmap.Key                // of observations that are to be reported, the newest last

	groupPurges  map[Group]Micros        // last purge of each group
	objectPurges map[shardmap.Key]Micros // last purge of each single object

	shardMap      *shardmap.Map // nil: none yet
	address       func(membership.NodeID) (netip.AddrPort, bool)
	handOverQueue []shardmap.Key // entries that another router owns now

	tokens     float64 // datagrams that may be sent now
	refilledAt Micros
	reportedAt Micros
	expiredAt  Micros
	buf        [MaxPayload + maxRecordSize]byte
}

// New makes the part of a router. Address tells where a router is reached.
func New(
	now Micros, self shardmap.Owner, output Output, bounds Bounds,
	address func(membership.NodeID) (netip.AddrPort, bool),
) *Directory {
	return &Directory{
		self:         self,
		output:       output,
		bounds:       bounds,
		now:          now,
		entries:      map[shardmap.Key]*entry{},
		byGap:        *btree.NewBTreeGOptions(moreRequested, btree.Options{NoLocks: true}),
		observations: map[shardmap.Key]*observation{},
		groupPurges:  map[Group]Micros{},
		objectPurges: map[shardmap.Key]Micros{},
		address:      address,
		tokens:       burstDatagrams,
		refilledAt:   now,
		reportedAt:   now,
		expiredAt:    now,
	}
}

// advance sets the time, which never goes back.
func (d *Directory) advance(now Micros) { d.now = max(d.now, now) }

// Lookup returns the record of an object, as it is known here.
func (d *Directory) Lookup(k shardmap.Key) (Record, bool) {
	e := d.entries[k]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Each calls f for every record, in no order, until it returns false.
func (d *Directory) Each(f func(*Record) bool) {
	for _, e := range d.entries {
		if !f(&e.Record) {
			return
		}
	}
}

// Hottest calls f for records, the most requested first, until it returns false.
func (d *Directory) Hottest(f func(*Record) bool) {
	d.byGap.Scan(func(e *entry) bool { return f(&e.Record) })
}

// HottestReported does so for the records that other routers have reported.
func (d *Directory) HottestReported(f func(*Record) bool) {
	d.byGap.Scan(func(e *entry) bool { return e.ownOnly || f(&e.Record) })
}

// Len is the number of records.
func (d *Directory) Len() int { return len(d.entries) }

// Stats counts what has happened.
func (d *Directory) Stats() Stats { return d.stats }

// Owns reports whether a key is this router's by the shard map.
func (d *Directory) Owns(k shardmap.Key) bool {
	return d.shardMap != nil && d.shardMap.Owners[d.shardMap.RangeOf(k).Owner] == d.self
}

// holds reports whether this router is the owner or a replica of a key.
func (d *Directory) holds(k shardmap.Key) bool {
	if d.shardMap == nil {
		return false
	}
	r := d.shardMap.RangeOf(k)
	for _, i := range [...]uint16{r.Owner, r.Replicas[0], r.Replicas[1]} {
		if i != shardmap.NoOwner && d.shardMap.Owners[i] == d.self {
			return true
		}
	}
	return false
}

// routers is how many routers report: those that the shard map names.
func (d *Directory) routers() int {
	if d.shardMap == nil {
		return 1
	}
	return max(len(d.shardMap.Owners), 1)
}

// Tick sends what is to be sent, within the budget, and drops what has expired.
func (d *Directory) Tick(now Micros) {
	d.advance(now)
	refill := (d.now - d.refilledAt).Seconds() * d.bounds.DatagramsPerSecond
	d.tokens = min(d.tokens+refill, burstDatagrams)
	d.refilledAt = d.now
	if d.now-d.expiredAt >= expireInterval {
		d.expiredAt = d.now
		d.expire()
	}
	if d.shardMap == nil || d.now-d.reportedAt < reportInterval {
		return
	}
	d.reportedAt = d.now
	d.handOver()
	d.sendReports()
}

// expire drops what has been of no use for long.
func (d *Directory) expire() {
	for _, e := range d.entries {
		if d.now-e.UpdatedAt > d.bounds.Retention {
			d.drop(e)
		}
	}
	for k, o := range d.observations {
		if d.now-o.lastRequest > UnknownGap {
			delete(d.observations, k)
		}
	}
	for g, at := range d.groupPurges {
		if d.now-at > purgeRetention {
			delete(d.groupPurges, g)
		}
	}
	for k, at := range d.objectPurges {
		if d.now-at > purgeRetention {
			delete(d.objectPurges, k)
		}
	}
}
