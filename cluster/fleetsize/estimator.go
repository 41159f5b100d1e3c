package fleetsize

import (
	"log/slog"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Size is how many routers there are in one zone and in the whole fleet, this one among them.
type Size struct{ Zone, Fleet int }

// Timing is how an estimate changes.
type Timing struct {
	Hold               Micros  // how long a router that is believed dead still counts
	PartitionShare     float64 // of the configured size: if so many are gone at once it may be a partition
	PartitionHold      Micros  // the hold then
	FallSharePerSecond float64 // of the configured size, by which an estimate falls at most
	ContactTimeout     Micros  // silence beyond which nothing is known of the others
}

// DefaultTiming outlasts partitions of half a minute and planned restarts.
var DefaultTiming = Timing{
	Hold:               10 * clock.Second,
	PartitionShare:     0.25,
	PartitionHold:      45 * clock.Second,
	FallSharePerSecond: 0.05,
	ContactTimeout:     1200 * clock.Millisecond,
}

// State is what an estimate rests on.
type State uint8

// States.
const (
	Configured State = iota // the settings: this router has just started, or doubts what it sees
	Counting                // the routers that are present
)

var stateNames = [...]string{"configured", "counting"}

// String names a state.
func (s State) String() string { return stateNames[s] }

// Output takes what comes out. It is called only from within calls of Estimator.
type Output interface {
	Log(message string, attrs ...slog.Attr) // writes a log line: a constant message and its fields
}

// member is what is known of another router.
type member struct {
	zone    uint16
	present bool
	since   Micros // present: the last news; else when it went
}

// Estimator is one router's estimate.
type Estimator struct {
	configured Size
	zone       uint16
	output     Output
	timing     Timing
	now        Micros
	state      State
	members    map[membership.NodeID]member
	zoneSize   float64
	fleetSize  float64
	size       Size // the two, rounded up
}

// New makes the estimate of a router that has just started.
func New(now Micros, zone uint16, configured Size, output Output, timing Timing) *Estimator {
	configured = Size{Zone: max(configured.Zone, 1), Fleet: max(configured.Fleet, 1)}
	return &Estimator{
		configured: configured,
		zone:       zone,
		output:     output,
		timing:     timing,
		now:        now,
		members:    map[membership.NodeID]member{},
		zoneSize:   float64(configured.Zone),
		fleetSize:  float64(configured.Fleet),
		size:       configured,
	}
}

// Size returns the estimate.
func (e *Estimator) Size() Size { return e.size }

// State returns what the estimate rests on.
func (e *Estimator) State() State { return e.state }

// MemberChanged takes a change of another router's membership.
func (e *Estimator) MemberChanged(now Micros, m membership.Member) {
	e.now = max(e.now, now)
	before, known := e.members[m.ID]
	after := member{zone: m.Zone, present: m.State.Present(), since: before.since}
	if after.present || before.present || !known {
		after.since = e.now
	}
	e.members[m.ID] = after
	e.raise()
}

// Tick does what is due.
func (e *Estimator) Tick(now Micros, contact membership.Contact) {
	span := max(now-e.now, 0)
	e.now = max(e.now, now)
	inContact := contact.Settled && !contact.Alone && contact.SinceAck < e.timing.ContactTimeout
	switch {
	case e.state == Configured && inContact:
		e.setState(Counting)
	case e.state == Counting && !inContact:
		e.setState(Configured)
	}
	if e.state == Counting {
		floor := e.floor()
		e.zoneSize = e.fall(e.zoneSize, floor.Zone, e.configured.Zone, span)
		e.fleetSize = e.fall(e.fleetSize, floor.Fleet, e.configured.Fleet, span)
	}
	e.raise()
}

// fall lowers an estimate by no more than it may fall in a span.
func (e *Estimator) fall(estimate float64, floor, configured int, span Micros) float64 {
	step := e.timing.FallSharePerSecond * float64(configured) * span.Seconds()
	return max(float64(floor), estimate-step)
}

// setState is the only place where the state changes.
func (e *Estimator) setState(to State) {
	e.state = to
	if to == Configured && e.size != e.configured {
		e.output.Log("fleetsize: out of contact, going by the configured size again")
	}
}

// raise raises the estimates at once to what they must not be below.
func (e *Estimator) raise() {
	floor := e.floor()
	if e.state == Configured {
		floor.Zone = max(floor.Zone, e.configured.Zone)
		floor.Fleet = max(floor.Fleet, e.configured.Fleet)
	}
	e.zoneSize = max(e.zoneSize, float64(floor.Zone))
	e.fleetSize = max(e.fleetSize, float64(floor.Fleet))
	e.size = Size{Zone: roundUp(e.zoneSize), Fleet: roundUp(e.fleetSize)}
}

// roundUp counts a part of a router as one, but for errors of floating-point sums.
func roundUp(x float64) int { return int(x + 1 - 1e-9) }

// floor is what the estimates fall to: the configured size less the routers that are gone for longer than the
// hold, but no fewer than are present.
func (e *Estimator) floor() Size {
	hold := e.hold()
	gone := e.count(func(m member) bool { return !m.present && e.now-m.since >= hold })
	present := e.count(func(m member) bool { return m.present })
	return Size{
		Zone:  max(present.Zone+1, e.configured.Zone-gone.Zone),
		Fleet: max(present.Fleet+1, e.configured.Fleet-gone.Fleet),
	}
}

// hold is how long a router that is gone still counts: longer while many are gone at once.
func (e *Estimator) hold() Micros {
	recent := e.count(func(m member) bool { return !m.present && e.now-m.since < e.timing.PartitionHold })
	if recent.Fleet > 1 && float64(recent.Fleet) >= e.timing.PartitionShare*float64(e.configured.Fleet) {
		return e.timing.PartitionHold
	}
	return e.timing.Hold
}

// count counts the other routers that a condition holds for.
func (e *Estimator) count(holds func(member) bool) (n Size) {
	for _, m := range e.members {
		if !holds(m) {
			continue
		}
		n.Fleet++
		if m.zone == e.zone {
			n.Zone++
		}
	}
	return n
}
