package directory

import (
	"net/netip"

	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

type (
	// CacheInstance names a cache in one of its starts; a later start has another name.
	CacheInstance uint64
	// Group numbers a group of objects that are purged together; 0: none.
	Group uint64
)

// MaxCopies is how many caches a row may name.
const MaxCopies = 3

// Copy is that a cache was seen to hold a copy. Times are on the clock of who holds the row.
type Copy struct {
	Cache     CacheInstance
	LastSeen  Micros
	CreatedAt Micros // when the copy came from the origin; what is older than a purge is gone
}

// Record is what is known of one object. A gap that is taken over from a row starts the design's own figure (PAPER, algorithm 1);
// a router outweighs it by what it sees itself.
type Record struct {
	Key              shardmap.Key // the object's hash
	Group            Group
	Class            uint8
	SizeKB           uint32
	RequestGap       Micros  // time between visits at one router, from the rate of all that told of it
	UpdatesPerSecond float32 // a second
	LastRequest      Micros  // the last visit
	UpdatedAt        Micros  // when the newest part of it was told
	Reports          uint8   // tellings that it rests on; in one router's news, its visits since it told last; 255 at most
	Copies           [MaxCopies]Copy
}

// Output takes what comes out. It is called only from within calls of Holdings.
type Output interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Note(line string)
}

// MaxPayload is the most that a datagram of this package takes.
const MaxPayload = 208

// Bounds are what a router gives to rows.
type Bounds struct {
	Rows    int     // kept for others
	Pending int     // own news that waits to be told
	PerS    float64 // datagrams a second, whatever the size of the fleet
	Keep    Micros  // a row that nobody has told of for so long is dropped
}

// DefaultBounds take about 3 MB.
var DefaultBounds = Bounds{Rows: 16384, Pending: 2048, PerS: 8, Keep: 10 * clock.Minute}

// Stats counts what has happened since the start.
type Stats struct {
	Told, Taken, Sent uint64 // rows told, rows taken in, datagrams
	Dropped           uint64 // rows that found no room or were least asked
	Overrun           uint64 // news dropped before it could be told
	Purged            uint64 // copies dropped for a purge
	Unreadable        uint64
	Astray            uint64 // rows that this router neither keeps nor stands by
}
