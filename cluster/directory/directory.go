package directory

import (
	"log/slog"
	"net/netip"

	"github.com/tidwall/btree"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Output receives the results of a Directory. The Directory calls it only from within its own methods.
type Output interface {
	Send(to netip.AddrPort, b []byte)       // b is valid only during the call
	Log(message string, attrs ...slog.Attr) // writes a log line with a constant message and its fields
}

// Bounds limits the resources that a router spends on records.
type Bounds struct {
	Records            int     // number of records held for other routers
	PendingReports     int     // number of reports waiting to be sent
	DatagramsPerSecond float64 // sent datagrams, whatever the size of the fleet
	Retention          Micros  // time without a report after which a record is dropped
}

// DefaultBounds uses about 3 MB of memory.
var DefaultBounds = Bounds{
	Records:            16384,
	PendingReports:     2048,
	DatagramsPerSecond: 8,
	Retention:          10 * clock.Minute,
}

// Stats counts events since the start.
type Stats struct {
	Reported       uint64 // records reported to owners
	Merged         uint64 // records merged by this router
	DatagramsSent  uint64
	Evicted        uint64 // records dropped because there was no space
	ReportsDropped uint64 // reports dropped before they could be sent
	CopiesPurged   uint64
	Unreadable     uint64 // unreadable datagrams
	Misdirected    uint64 // received records that this router neither owns nor replicates
}

const (
	burstDatagrams = 16.0 // number of datagrams that may be sent at once after a silence
	reportInterval = 100 * clock.Millisecond
	expireInterval = clock.Second
)

// Directory is one router's part of the directory. It is not safe for concurrent use.
// Invariant: entries and byGap contain the same entries. An entry's RequestGap may change only while it is not in
// byGap.
type Directory struct {
	self   shardmap.Owner
	output Output
	bounds Bounds
	now    Micros
	stats  Stats

	entries    map[shardmap.Key]*entry // records held for other routers
	byGap      btree.BTreeG[*entry]    // the entries of the map, most requested first
	fullLogged bool                    // it has been logged that entries are full

	observations map[shardmap.Key]*observation // this router's own observations
	reportQueue  []shardmap.Key                // keys of observations to report, newest last

	groupPurges  map[Group]Micros        // time of the last purge of each group
	objectPurges map[shardmap.Key]Micros // time of the last purge of each object

	shardMap      *shardmap.Map // nil: none yet
	address       func(membership.NodeID) (netip.AddrPort, bool)
	handOverQueue []shardmap.Key // keys of entries that another router owns now

	tokens     float64 // number of datagrams that may be sent now
	refilledAt Micros
	reportedAt Micros
	expiredAt  Micros
	buf        [MaxPayload + maxRecordSize]byte
}

// New returns the Directory of one router. address returns the address of a router, or false if it is unknown.
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

// advance sets the current time, which never goes back.
func (d *Directory) advance(now Micros) { d.now = max(d.now, now) }

// Lookup returns this router's record of an object, and whether there is one.
func (d *Directory) Lookup(k shardmap.Key) (Record, bool) {
	e := d.entries[k]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Each calls f for every record, in no particular order, until f returns false.
func (d *Directory) Each(f func(*Record) bool) {
	for _, e := range d.entries {
		if !f(&e.Record) {
			return
		}
	}
}

// Hottest calls f for the records in order, most requested first, until f returns false.
func (d *Directory) Hottest(f func(*Record) bool) {
	d.byGap.Scan(func(e *entry) bool { return f(&e.Record) })
}

// HottestReported does the same for the records that other routers have reported.
func (d *Directory) HottestReported(f func(*Record) bool) {
	d.byGap.Scan(func(e *entry) bool { return e.ownOnly || f(&e.Record) })
}

// Len returns the number of records.
func (d *Directory) Len() int { return len(d.entries) }

// Stats returns counts of events since the start.
func (d *Directory) Stats() Stats { return d.stats }

// Owns reports whether this router owns a key according to the shard map.
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

// routers returns the number of routers that report: those named by the shard map.
func (d *Directory) routers() int {
	if d.shardMap == nil {
		return 1
	}
	return max(len(d.shardMap.Owners), 1)
}

// Tick sends pending reports within the rate limit and drops expired records. The caller must call it some tens of
// times per second.
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

// expire drops records, observations and purges that are too old to be useful.
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
