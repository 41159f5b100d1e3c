package recovery

import (
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// State is how far a router has come back.
type State uint8

const (
	Joining    State = iota // it does not know yet who is there
	Alone                   // nobody is there to ask: it goes on with nothing
	Fetching                // it asks the others for rows, the most asked first
	CatchingUp              // it has its rows, and waits for the purges that it has not heard
	Recovered
)

var stateNames = [...]string{"joining", "alone", "recalling", "catching up", "full"}

func (s State) String() string { return stateNames[s] }

var follows = [...][]State{Joining: {Alone, Fetching}, Alone: {Fetching, Recovered}, Fetching: {CatchingUp, Alone}, CatchingUp: {Recovered}}

// Permissions is what a router may do in a state. Visits it serves in all of them, by the design's own figures.
type Permissions struct {
	UseEstimates bool // take gaps and rates from rows
	UseCopies    bool // name caches by rows: a purge that was not heard could have made their copies old
	ServeRecords bool // give rows to others
	MakeShardMap bool // make maps
}

var leaves = [...]Permissions{Joining: {}, Alone: {ServeRecords: true, MakeShardMap: true}, Fetching: {UseEstimates: true, MakeShardMap: true},
	CatchingUp: {UseEstimates: true, MakeShardMap: true}, Recovered: {UseEstimates: true, UseCopies: true, ServeRecords: true, MakeShardMap: true}}

// Source is where the rows are that this router gives to others.
type Source interface {
	Hottest(f func(*directory.Record) bool)
	HottestReported(f func(*directory.Record) bool) // of these, those that others have told it
	Len() int
}

// Output takes what comes out. It is called only from within calls of Comeback.
type Output interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	RecordRecovered(r directory.Record)
	StateChanged(from, to State)
	Note(line string)
}

// Peer is a router that is there.
type Peer struct {
	ID          membership.NodeID
	Address     netip.AddrPort
	Incarnation membership.Incarnation
}

// Bounds are what coming back and helping others to may take.
type Bounds struct {
	Rows   int     // wanted
	Window int     // routers asked at one time
	PerS   float64 // datagrams a second that ask
	Pages  float64 // datagrams a second that answer
	Most   Micros  // then a router goes on with what it has
	Catch  Micros  // how long purges are waited for
}

// DefaultBounds bring a thousand rows back in some seconds.
var DefaultBounds = Bounds{Rows: 1024, Window: 6, PerS: 60, Pages: 80, Most: 8 * clock.Second, Catch: 3 * clock.Second}

// MaxPayload is the most that a datagram of this package takes.
const MaxPayload = 208

// Stats counts what has happened since the start.
type Stats struct {
	RequestsSent, PagesServed, Deferred uint64 // asks sent, pages sent, asks put off
	Records                             uint64 // recalled
	Restored                            uint64 // from the snapshot of the life before
	Unresponsive                        uint64 // routers that did not answer
	Unreadable                          uint64
	TookMs                              int64 // from the start until Full or Alone
}
