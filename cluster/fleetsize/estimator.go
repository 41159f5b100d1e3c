package fleetsize

import (
	"log/slog"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Size is the number of routers in one zone and in the whole fleet, including this one.
type Size struct{ Zone, Fleet int }

// Timing configures how an estimate changes.
type Timing struct {
	Hold               Micros  // how long a router that is believed dead still counts
	PartitionShare     float64 // share of the configured size that is gone at once if there may be a partition
	PartitionHold      Micros  // the hold during a possible partition
	FallSharePerSecond float64 // share of the configured size by which an estimate may fall per second
	ContactTimeout     Micros  // time since the last ack after which this router is out of contact
}

// DefaultTiming outlasts partitions of half a minute and planned restarts.
var DefaultTiming = Timing{
	Hold:               10 * clock.Second,
	PartitionShare:     0.25,
	PartitionHold:      45 * clock.Second,
	FallSharePerSecond: 0.05,
	ContactTimeout:     1200 * clock.Millisecond,
}

// State says what an estimate is based on.
type State uint8

// The states.
const (
	Configured State = iota // the configured size: this router has just started, or is out of contact
	Counting                // the number of present routers
)

var stateNames = [...]string{"configured", "counting"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Output receives the log lines of an Estimator, which calls it only from within its own methods.
type Output interface {
	Log(message string, attrs ...slog.Attr) // writes a log line with a constant message and its fields
}

// member is the state of another router.
type member struct {
	zone    uint16
	present bool
	since   Micros // if present: time of the last change; otherwise: when it was believed gone
}

// Estimator estimates the fleet size for one router. It is not safe for concurrent use.
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
	size       Size // zoneSize and fleetSize, rounded up
}

// New returns the Estimator of a router that has just started.
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

// Size returns the current estimate.
func (e *Estimator) Size() Size { return e.size }

// State returns what the estimate is based on.
func (e *Estimator) State() State { return e.state }

// MemberChanged records a change of another router's membership.
func (e *Estimator) MemberChanged(now Micros, m membership.Member) {
	e.now = max(e.now, now)
	previous, known := e.members[m.ID]
	current := member{zone: m.Zone, present: m.State.Present(), since: previous.since}
	if current.present || previous.present || !known {
		current.since = e.now
	}
	e.members[m.ID] = current
	e.raiseToFloor()
}

// Tick updates the estimate. The caller must call it some tens of times per second.
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
	e.raiseToFloor()
}

// fall returns the estimate after it has fallen for the given time, limited by FallSharePerSecond and floor.
func (e *Estimator) fall(estimate float64, floor, configured int, span Micros) float64 {
	step := e.timing.FallSharePerSecond * float64(configured) * span.Seconds()
	return max(float64(floor), estimate-step)
}

// setState is the only code that changes the state.
func (e *Estimator) setState(to State) {
	e.state = to
	if to == Configured && e.size != e.configured {
		e.output.Log("fleetsize: out of contact, using the configured size")
	}
}

// raise raises the estimates to their floor at once.
func (e *Estimator) raiseToFloor() {
	floor := e.floor()
	if e.state == Configured {
		floor.Zone = max(floor.Zone, e.configured.Zone)
		floor.Fleet = max(floor.Fleet, e.configured.Fleet)
	}
	e.zoneSize = max(e.zoneSize, float64(floor.Zone))
	e.fleetSize = max(e.fleetSize, float64(floor.Fleet))
	e.size = Size{Zone: roundUp(e.zoneSize), Fleet: roundUp(e.fleetSize)}
}

// roundUp rounds up to a whole number, but tolerates errors of floating-point sums.
func roundUp(x float64) int { return int(x + 1 - 1e-9) }

// floor returns the size to which the estimates may fall: the configured size without the routers that are gone for
// longer than the hold, but at least the number of present routers.
func (e *Estimator) floor() Size {
	hold := e.hold()
	gone := e.count(func(m member) bool { return !m.present && e.now-m.since >= hold })
	present := e.count(func(m member) bool { return m.present })
	return Size{
		Zone:  max(present.Zone+1, e.configured.Zone-gone.Zone),
		Fleet: max(present.Fleet+1, e.configured.Fleet-gone.Fleet),
	}
}

// hold returns how long a router that is gone still counts.
func (e *Estimator) hold() Micros {
	recentlyGone := e.count(func(m member) bool { return !m.present && e.now-m.since < e.timing.PartitionHold })
	if recentlyGone.Fleet > 1 && float64(recentlyGone.Fleet) >= e.timing.PartitionShare*float64(e.configured.Fleet) {
		return e.timing.PartitionHold
	}
	return e.timing.Hold
}

// count returns the number of other routers that satisfy a condition.
func (e *Estimator) count(condition func(member) bool) (n Size) {
	for _, m := range e.members {
		if !condition(m) {
			continue
		}
		n.Fleet++
		if m.zone == e.zone {
			n.Zone++
		}
	}
	return n
}
