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
	PendingReports     int     // number of reports waiting to be sent; twice as many objects are observed at a time
	DatagramsPerSecond float64 // sent datagrams, whatever the size of the fleet
	Retention          Micros  // time without a report after which a record is dropped
}

// DefaultBounds are the limits of the service. With them a Directory uses about 3 MB of memory.
var DefaultBounds = Bounds{
	Records:            16384,
	PendingReports:     2048,
	DatagramsPerSecond: 8,
	Retention:          10 * clock.Minute,
}

// Stats counts events since the start.
type Stats struct {
	Reported       uint64 // reports sent to owners, or given up because an owner's address was unknown
	Merged         uint64 // reports and records merged by this router
	DatagramsSent  uint64
	Evicted        uint64 // records dropped or not stored because there was no space
	ReportsDropped uint64 // reports dropped before they could be sent, and requests that could not be observed
	CopiesPurged   uint64 // copies removed from records because of a purge
	Unreadable     uint64 // unreadable datagrams
	Misdirected    uint64 // received records that this router neither owns nor replicates
}

const (
	burstDatagrams = 16.0                    // number of datagrams that may be sent at once after an idle time
	reportInterval = 100 * clock.Millisecond // minimum time between two rounds of sending
	expireInterval = clock.Second            // time between two searches for expired records, observations and purges
)

// Directory is one router's part of the directory. It is not safe for concurrent use.
//
// Invariants: entries and byGap contain the same entries. An entry's RequestGap may change only while it is not in
// byGap. No copy in an entry's record is older than the last known purge of its object or group.
type Directory struct {
	self   shardmap.Owner
	output Output
	bounds Bounds
	now    Micros // latest time passed by the caller
	stats  Stats

	entries        map[shardmap.Key]*entry // records held for other routers, and this router's own reports
	byGap          btree.BTreeG[*entry]    // the same entries, most requested first
	evictionLogged bool                    // the first eviction has been logged; later ones are only counted

	observations map[shardmap.Key]*observation // this router's own observations
	reportQueue  []shardmap.Key                // keys of observations to report, newest last

	groupPurges  map[Group]Micros        // time of the last purge of each group, for purgeRetention
	objectPurges map[shardmap.Key]Micros // time of the last purge of each object, for purgeRetention

	shardMap      *shardmap.Map // nil: none yet
	address       func(membership.NodeID) (netip.AddrPort, bool)
	handOverQueue []shardmap.Key // keys of entries whose owner has changed, most requested first

	tokens     float64                          // datagrams that may be sent now; below 0: a round has sent too many
	refilledAt Micros                           // when tokens were last refilled
	reportedAt Micros                           // when reports and records were last sent
	lastExpire Micros                           // when expire was last called
	buf        [MaxPayload + maxRecordSize]byte // the datagram under construction and a record that does not fit
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
		lastExpire:   now,
	}
}

// advanceClock sets the current time, which never goes back.
func (d *Directory) advanceClock(now Micros) { d.now = max(d.now, now) }

// Lookup returns a copy of this router's record of an object, or false if there is none.
func (d *Directory) Lookup(k shardmap.Key) (Record, bool) {
	e := d.entries[k]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Each calls f for every record, in no particular order, until f returns false. The record is valid only during the
// call, and f must neither change it nor call methods that change the Directory.
func (d *Directory) Each(f func(*Record) bool) {
	for _, e := range d.entries {
		if !f(&e.Record) {
			return
		}
	}
}

// Hottest calls f for the records in order, most requested first, until f returns false. The conditions of Each
// apply.
func (d *Directory) Hottest(f func(*Record) bool) {
	d.byGap.Scan(func(e *entry) bool { return f(&e.Record) })
}

// HottestReported calls f like Hottest, but omits the records that this router stores only because it has reported
// them itself.
func (d *Directory) HottestReported(f func(*Record) bool) {
	d.byGap.Scan(func(e *entry) bool { return e.fromSelfOnly || f(&e.Record) })
}

// Len returns the number of records.
func (d *Directory) Len() int { return len(d.entries) }

// Stats returns counts of events since the start.
func (d *Directory) Stats() Stats { return d.stats }

// Owns reports whether this router owns a key according to the shard map.
func (d *Directory) Owns(k shardmap.Key) bool {
	return d.shardMap != nil && d.shardMap.Owners[d.shardMap.RangeOf(k).Owner] == d.self
}

// ownsOrReplicates reports whether this router is the owner or a replica of a key according to the shard map.
func (d *Directory) ownsOrReplicates(k shardmap.Key) bool {
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

// routerCount returns the number of routers that report, which are the owners named by the shard map. It is at
// least 1.
func (d *Directory) routerCount() int {
	if d.shardMap == nil {
		return 1
	}
	return max(len(d.shardMap.Owners), 1)
}

// Tick sends pending reports within the rate limit and drops expired records. The caller must call it some tens of
// times per second.
func (d *Directory) Tick(now Micros) {
	d.advanceClock(now)
	refill := (d.now - d.refilledAt).Seconds() * d.bounds.DatagramsPerSecond
	d.tokens = min(d.tokens+refill, burstDatagrams)
	d.refilledAt = d.now
	if d.now-d.lastExpire >= expireInterval {
		d.lastExpire = d.now
		d.expire()
	}
	if d.shardMap == nil || d.now-d.reportedAt < reportInterval {
		return
	}
	d.reportedAt = d.now
	d.handOver()
	d.sendReports()
}

// expire drops records without recent reports, observations without a request for the maximum request gap, and
// purges from before which no copy can be reported any more.
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
