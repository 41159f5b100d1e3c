package invariants

// maxViolations are kept.
const maxViolations = 16

// Checker checks one run. It is not safe for concurrent use.
type Checker struct {
	settings   Settings
	violations []Violation
	stats      Stats

	requests   map[RequestID]*request
	byDeadline []*request // that are not known to be answered in time
	attempts   map[AttemptID]*attempt
	routers    map[RouterID]*routerState
	machines   map[MachineID]*machineState

	notices       []Event // EndpointListed and Purged, by number from 1
	discoveryDown bool
	discoveryUpAt Micros // when discovery last came back
}

// request is what is known of a request.
type request struct {
	sent       Event
	response   *Event
	clientLeft *Event
	settled    bool // nothing is owed any more
	attempts   []*attempt
	mayHaveRun int // attempts that came and are not proven not run
	executions []Event
	rejected   bool
}

// attempt is what is known of an attempt.
type attempt struct {
	received Event
	ended    *Event
	request  *request
}

// routerState is what is known of a router.
type routerState struct {
	notified    []Micros // when, by the notice's number
	everPaused  bool
	paused      bool
	pausedOrRun Micros // when paused or resumed last
	partitioned bool
	rejoinedAt  Micros // when partitioned or rejoined last; 0: never
	open        map[*request]struct{}
}

// machineState is what is known of a machine.
type machineState struct {
	closedBy  int // number of the notice that took it out of use; 0: it is usable
	startedAt Micros
	cold      bool
	startedBy int // number of the notice that announced the start; 0: none
	arrivals  []arrival
	fell      bool // overloaded while cold
}

// New makes a Checker.
func New(s Settings) *Checker {
	return &Checker{
		settings: s,
		requests: map[RequestID]*request{},
		attempts: map[AttemptID]*attempt{},
		routers:  map[RouterID]*routerState{},
		machines: map[MachineID]*machineState{},
	}
}

// Settings are the figures that the Checker goes by; machines may be added to SlowStart.
func (c *Checker) Settings() Settings { return c.settings }

// Violations are the rules broken so far, sixteen at most.
func (c *Checker) Violations() []Violation { return c.violations }

// Stats counts what was seen.
func (c *Checker) Stats() Stats { return c.stats }

// Observe takes the next event; events come in the order of their time.
func (c *Checker) Observe(e Event) {
	c.checkLost(e.At)
	switch e.Kind {
	case RequestSent:
		c.requestSent(e)
	case ResponseReceived:
		c.responseReceived(e)
	case ClientLeft, ConnectionFault, ConnectionDropped:
		c.requestAbandoned(e)
	case AttemptReceived:
		c.attemptReceived(e)
	case AttemptEnded:
		c.attemptEnded(e)
	case Executed:
		c.executed(e)
	case FillReceived:
		c.arrived(e)
	case EndpointListed, Purged:
		c.announced(e)
	case Notified:
		c.notified(e)
	case MachineStarted:
		m := c.machine(e.Machine)
		*m = machineState{closedBy: m.closedBy, startedAt: e.At, cold: true}
	case DiscoveryDown, DiscoveryUp:
		c.discoveryDown = e.Kind == DiscoveryDown
		c.discoveryUpAt = e.At
	default:
		c.routerChanged(e)
	}
}

// Finish ends the check at a time.
func (c *Checker) Finish(at Micros) { c.checkLost(at) }

// attemptReceived checks rules 1 to 4 for an attempt.
func (c *Checker) attemptReceived(e Event) {
	c.stats.Attempts++
	c.checkDrains(e)
	c.arrived(e)
	r := c.requests[e.Request]
	if r == nil { // background work
		return
	}
	a := &attempt{received: e, request: r}
	c.attempts[e.Attempt] = a
	c.checkAttemptWanted(r, e)
	c.checkDeadlinePassedOn(r, e)
	c.checkKeyWindow(r, e)
	r.attempts = append(r.attempts, a)
	c.countMayHaveRun(r, 1)
}

// attemptEnded checks rules 2 and 5 for an attempt.
func (c *Checker) attemptEnded(e Event) {
	a := c.attempts[e.Attempt]
	if a == nil || a.ended != nil {
		return
	}
	a.ended = &e
	if e.Outcome == NotRun {
		c.countMayHaveRun(a.request, -1)
	}
	if !c.settings.Hedging {
		c.checkOverlap(a)
	}
	if e.Outcome == Succeeded && e.EffectiveAt != 0 {
		c.checkPurges(a)
	}
}

// routerChanged takes what happens to a router.
func (c *Checker) routerChanged(e Event) {
	r := c.router(e.Router)
	switch e.Kind {
	case RouterDied:
		for request := range r.open {
			request.settled = true
		}
		clear(r.open)
		r.notified = nil // its partition is the network's, and stays
	case RouterPartitioned, RouterRejoined:
		r.partitioned = e.Kind == RouterPartitioned
		r.rejoinedAt = e.At
	case RouterPaused, RouterResumed:
		r.paused = e.Kind == RouterPaused
		r.pausedOrRun = e.At
		r.everPaused = true
	}
}

func (c *Checker) violate(rule int, at Micros, id RequestID, reason string, events ...Event) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, id, reason, events})
	}
}

func (c *Checker) router(id RouterID) *routerState {
	if c.routers[id] == nil {
		c.routers[id] = &routerState{open: map[*request]struct{}{}}
	}
	return c.routers[id]
}

func (c *Checker) machine(id MachineID) *machineState {
	if c.machines[id] == nil {
		c.machines[id] = &machineState{}
	}
	return c.machines[id]
}

// pausedSince tells whether a router was paused after a time: it can't have answered then.
func (r *routerState) pausedSince(at Micros) bool {
	return r.paused || r.everPaused && r.pausedOrRun >= at
}

// partitionedSince tells whether a router was partitioned after a time: it can't know how long what it reads was on its
// way.
func (r *routerState) partitionedSince(at Micros) bool {
	return r.partitioned || r.rejoinedAt >= at && r.rejoinedAt > 0
}
