// Package presence counts the routers that share what limits bound: caches of a branch, parents and the origin. The settings name so
// many; after a mass death fewer are there, and each may take more. Free of I/O: changes of membership and time go in, counts come out.
//
// How it is called: New makes one router's count. Member tells of each change of membership, Tick is called some tens of times a second
// with how this router stands, Sharers gives what counts now.
//
// How it is decided: too small a count overloads what is shared, so each doubt goes to the larger. A router that is out of contact, or
// alone, or has just started goes by what the settings name. One that is believed dead counts on for a hold, as it may be beyond a split
// and send on; while many are gone at once the hold is longer, as a split looks just so. After that the count falls slowly. It rises at
// once: with the first word of one that is back. Nobody counts for less than who is there.
package fleetsize

import (
	"fmt"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Size is how many routers share what is bounded in one zone, and in all, this one among them.
type Size struct{ Zone, Fleet int }

// Timing is how a count moves.
type Timing struct {
	Hold    Micros  // how long one that is believed dead counts on
	Many    float64 // share of all that is gone at once, from which on it may be a split
	Long    Micros  // the hold then
	Fall    float64 // share of what the settings name by which a count falls in a second, at most
	Contact Micros  // silence beyond which nothing is known of the others
}

// DefaultTiming outlasts splits of half a minute and planned restarts.
var DefaultTiming = Timing{Hold: 10 * clock.Second, Many: 0.25, Long: 45 * clock.Second, Fall: 0.05, Contact: 1200 * clock.Millisecond}

// State is what a count rests on.
type State uint8

const (
	Named    State = iota // the settings: this router has just started, or doubts what it sees
	Counting              // who is seen
)

var stateNames = [...]string{"named", "counting"}

func (s State) String() string { return stateNames[s] }

// Output takes what comes out. It is called only from within calls of Presence.
type Output interface{ Note(line string) }

// seat is what is known of a router.
type seat struct {
	zone    uint16
	present bool
	since   Micros // when it was last there
}

// Estimator is one router's count.
type Estimator struct {
	named  Size
	zone   uint16
	post   Output
	pace   Timing
	now    Micros
	state  State
	since  Micros // of the state
	seats  map[membership.NodeID]seat
	count  [2]float64 // zone, fleet
	told   Size
	falls  uint64
	raises uint64
}

// New makes the count of a router that has just started. Named is what the settings say.
func New(now Micros, zone uint16, named Size, post Output, pace Timing) *Estimator {
	named = Size{max(named.Zone, 1), max(named.Fleet, 1)}
	return &Estimator{named: named, zone: zone, post: post, pace: pace, now: now, since: now, seats: map[membership.NodeID]seat{},
		count: [2]float64{float64(named.Zone), float64(named.Fleet)}, told: named}
}

// MemberChanged takes a change of membership of another router.
func (p *Estimator) MemberChanged(now Micros, m membership.Member) {
	p.now = max(p.now, now)
	was, known := p.seats[m.ID]
	is := seat{m.Zone, m.State.Present(), was.since}
	if is.present || was.present || !known {
		is.since = p.now
	}
	p.seats[m.ID] = is
	p.raise()
}

// Tick does what is due.
func (p *Estimator) Tick(now Micros, at membership.Contact) {
	span := max(now-p.now, 0)
	p.now = max(p.now, now)
	sure := at.Settled && !at.Alone && at.SinceAck < p.pace.Contact
	switch {
	case p.state == Named && sure:
		p.move(Counting)
	case p.state == Counting && !sure:
		p.move(Named)
	}
	if p.state == Counting {
		for i, want := range p.wanted() {
			step := p.pace.Fall * float64([...]int{p.named.Zone, p.named.Fleet}[i]) * span.Seconds()
			p.count[i] = max(float64(want), p.count[i]-step)
		}
	}
	p.raise()
}

// move is the one place where the state changes.
func (p *Estimator) move(to State) {
	p.state, p.since = to, p.now
	if to == Named && p.told != p.named {
		p.post.Note(fmt.Sprintf("presence: out of contact, %d routers share again as the settings name", p.named.Fleet))
	}
}

// raise has a count go up at once to what it must not be below.
func (p *Estimator) raise() {
	least := p.wanted()
	if p.state == Named {
		least = [2]int{max(least[0], p.named.Zone), max(least[1], p.named.Fleet)}
	}
	for i := range p.count {
		p.count[i] = max(p.count[i], float64(least[i]))
	}
	if is := (Size{whole(p.count[0]), whole(p.count[1])}); is != p.told {
		if is.Fleet < p.told.Fleet {
			p.falls++
		} else {
			p.raises++
		}
		p.told = is
	}
}

// whole rounds up: a part of a router is one.
func whole(x float64) int { return int(x + 1 - 1e-9) }

// there counts who is there, this router among them.
func (p *Estimator) there() [2]int {
	n := [2]int{1, 1}
	for _, s := range p.seats {
		if s.present {
			n[1]++
			if s.zone == p.zone {
				n[0]++
			}
		}
	}
	return n
}

// wanted is what the counts fall to: what the settings name less who is gone for longer than a hold.
func (p *Estimator) wanted() [2]int {
	gone, lately := [2]int{}, 0
	hold := p.pace.Hold
	for _, s := range p.seats {
		if !s.present && p.now-s.since < p.pace.Long {
			lately++
		}
	}
	if float64(lately) >= p.pace.Many*float64(p.named.Fleet) && lately > 1 {
		hold = p.pace.Long
	}
	for _, s := range p.seats {
		if !s.present && p.now-s.since >= hold {
			gone[1]++
			if s.zone == p.zone {
				gone[0]++
			}
		}
	}
	n := p.there()
	return [2]int{max(n[0], p.named.Zone-gone[0]), max(n[1], p.named.Fleet-gone[1])}
}

// Size gives what counts now.
func (p *Estimator) Size() Size { return p.told }

// State gives what the count rests on.
func (p *Estimator) State() State { return p.state }

// Changes counts how often the count of all fell, and how often it rose.
func (p *Estimator) Changes() (falls, raises uint64) { return p.falls, p.raises }
