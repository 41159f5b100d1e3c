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
	Recalling               // it asks the others for rows, the most asked first
	CatchingUp              // it has its rows, and waits for the purges that it has not heard
	Full
)

var stateNames = [...]string{"joining", "alone", "recalling", "catching up", "full"}

func (s State) String() string { return stateNames[s] }

var follows = [...][]State{Joining: {Alone, Recalling}, Alone: {Recalling, Full}, Recalling: {CatchingUp, Alone}, CatchingUp: {Full}}

// Leave is what a router may do in a state. Visits it serves in all of them, by the design's own figures.
type Leave struct {
	Estimates bool // take gaps and rates from rows
	Copies    bool // name caches by rows: a purge that was not heard could have made their copies old
	Serve     bool // give rows to others
	Map       bool // make maps
}

var leaves = [...]Leave{Joining: {}, Alone: {Serve: true, Map: true}, Recalling: {Estimates: true, Map: true},
	CatchingUp: {Estimates: true, Map: true}, Full: {Estimates: true, Copies: true, Serve: true, Map: true}}

// Rows is where the rows are that this router gives to others.
type Rows interface {
	Hottest(f func(*directory.Row) bool)
	Kept(f func(*directory.Row) bool) // of these, those that others have told it
	Rows() int
}

// Post takes what comes out. It is called only from within calls of Comeback.
type Post interface {
	Send(to netip.AddrPort, b []byte) // b is good within the call only
	Recalled(r directory.Row)
	Moved(from, to State)
	Note(line string)
}

// Peer is a router that is there.
type Peer struct {
	Mark    membership.Mark
	Address netip.AddrPort
	Life    membership.Life
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

// OrdinaryBounds bring a thousand rows back in some seconds.
var OrdinaryBounds = Bounds{Rows: 1024, Window: 6, PerS: 60, Pages: 80, Most: 8 * clock.Second, Catch: 3 * clock.Second}

// Room is the most that a datagram of this package takes.
const Room = 208

// Tally counts what has happened since the start.
type Tally struct {
	Asked, Served, Turns uint64 // asks sent, pages sent, asks put off
	Rows                 uint64 // recalled
	Restored             uint64 // from the snapshot of the life before
	Silent               uint64 // routers that did not answer
	Unreadable           uint64
	TookMs               int64 // from the start until Full or Alone
}
