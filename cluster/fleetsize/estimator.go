package fleetsize

import (
	"log/slog"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Size is a number of routers, including this one: those of this router's zone, and those of the whole fleet.
type Size struct{ Zone, Fleet int }

// Timing configures when an estimate falls, and how fast.
type Timing struct {
	Hold               Micros  // how long a router that is believed dead still counts
	PartitionShare     float64 // minimum share of the configured fleet gone within PartitionHold to suspect a partition
	PartitionHold      Micros  // the hold while a partition is suspected
	FallSharePerSecond float64 // maximum fall of an estimate per second, as a share of the configured size
	ContactTimeout     Micros  // time since the last acknowledged ping after which this router is out of contact
}

// DefaultTiming keeps the estimate unchanged through network partitions of half a minute (PartitionHold) and
// through planned restarts of single routers (Hold).
var DefaultTiming = Timing{
	Hold:               10 * clock.Second,
	PartitionShare:     0.25,
	PartitionHold:      45 * clock.Second,
	FallSharePerSecond: 0.05,
	ContactTimeout:     1200 * clock.Millisecond,
}

// State is the basis of an estimate.
type State uint8

// The states.
const (
	Configured State = iota // at least the configured size: this router has just started, is alone or out of contact
	Counting                // the configured size without the routers that are gone
)

var stateNames = [...]string{"configured", "counting"}

// String returns the state's name for logs.
func (s State) String() string { return stateNames[s] }

// Output receives the log lines of an Estimator, which calls it only from within its own methods.
type Output interface {
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// member is the last known state of another router.
type member struct {
	zone    uint16
	present bool
	since   Micros // if present: time of the last change; otherwise: start of the absence
}

// Estimator estimates the fleet size for one router. It is not safe for concurrent use.
type Estimator struct {
	configured Size   // at least 1 each
	zone       uint16 // this router's zone
	output     Output
	timing     Timing
	now        Micros // latest time passed by the caller; never goes back
	state      State
	members    map[membership.NodeID]member // all other routers that were ever known, including those gone
	zoneSize   float64                      // fractional, because it falls continuously
	fleetSize  float64
	size       Size // zoneSize and fleetSize, rounded up
}

// New returns the Estimator of a router in the given zone that has just started. Its estimate is the configured
// size, of which each number is at least 1.
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

// State returns the basis of the current estimate.
func (e *Estimator) State() State { return e.state }

// MemberChanged records a change of another router's membership. A change from one absent state to another, such
// as from dead to left, does not restart the router's hold.
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

// Tick updates the state and the estimate. The caller must call it some tens of times per second: the estimate
// falls in proportion to the time since the last call.
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

// fall returns the estimate after it has fallen for the time span, by at most FallSharePerSecond of the configured
// size per second and not below floor.
func (e *Estimator) fall(estimate float64, floor, configured int, span Micros) float64 {
	step := e.timing.FallSharePerSecond * float64(configured) * span.Seconds()
	return max(float64(floor), estimate-step)
}

// setState changes the state, and logs the return to the configured size if the estimate was another one. No other code
// changes the state.
func (e *Estimator) setState(to State) {
	e.state = to
	if to == Configured && e.size != e.configured {
		e.output.Log("fleetsize: out of contact, using the configured size")
	}
}

// raiseToFloor raises the estimates to their floor at once. While the state is Configured, the floor is at least
// the configured size. It also sets size.
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

// roundUp rounds up to a whole number. It ignores an excess of up to 1e-9, which is an error of floating-point
// sums.
func roundUp(x float64) int { return int(x + 1 - 1e-9) }

// floor returns the size to which the estimates may fall: the configured size without the routers that have been
// gone for at least the hold, but not less than the number of present routers including this one.
func (e *Estimator) floor() Size {
	hold := e.hold()
	gone := e.count(func(m member) bool { return !m.present && e.now-m.since >= hold })
	present := e.count(func(m member) bool { return m.present })
	return Size{
		Zone:  max(present.Zone+1, e.configured.Zone-gone.Zone),
		Fleet: max(present.Fleet+1, e.configured.Fleet-gone.Fleet),
	}
}

// hold returns how long a router that is gone still counts. A partition is suspected if at least PartitionShare of
// the configured fleet has been gone for less than PartitionHold. A single router never suffices, even in a small
// fleet.
func (e *Estimator) hold() Micros {
	recentlyGone := e.count(func(m member) bool { return !m.present && e.now-m.since < e.timing.PartitionHold })
	if recentlyGone.Fleet > 1 && float64(recentlyGone.Fleet) >= e.timing.PartitionShare*float64(e.configured.Fleet) {
		return e.timing.PartitionHold
	}
	return e.timing.Hold
}

// count returns the number of other routers that satisfy a condition, in this zone and in the fleet.
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
