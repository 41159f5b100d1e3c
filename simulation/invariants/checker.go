package invariants

// maxViolations is the number of violations that are kept.
const maxViolations = 16

// Checker checks one run. It is not safe for concurrent use.
type Checker struct {
	settings   Settings
	violations []Violation
	stats      Stats

	requests   map[RequestID]*request
	byDeadline []*request // requests that may still lack an answer
	attempts   map[AttemptID]*attempt
	routers    map[RouterID]*routerState
	machines   map[MachineID]*machineState

	notices       []Event // EndpointListed and Purged, by number; the first is 1
	discoveryDown bool
	discoveryUpAt Micros // when the last outage of discovery ended
}

// request is the state of a request.
type request struct {
	sent       Event
	response   *Event
	clientLeft *Event
	settled    bool // it needs no answer any more
	attempts   []*attempt
	mayHaveRun int // attempts that were received and are not proven not to have run
	executions []Event
	rejected   bool
}

// attempt is the state of an attempt.
type attempt struct {
	received Event
	ended    *Event
	request  *request
}

// routerState is the state of a router.
type routerState struct {
	notified       []Micros // when it was notified, by the notice's number
	everPaused     bool
	paused         bool
	pauseChangedAt Micros // when it was last paused or resumed
	partitioned    bool
	rejoinedAt     Micros // when it was last partitioned or rejoined; 0: never
	open           map[*request]struct{}
}

// machineState is the state of a machine.
type machineState struct {
	closedBy   int // number of the notice that it drains or is gone; 0: it is usable
	startedAt  Micros
	cold       bool
	startedBy  int // number of the notice that announced the start; 0: none
	arrivals   []arrival
	overloaded bool // while cold
}

// New returns a Checker.
func New(s Settings) *Checker {
	return &Checker{
		settings: s,
		requests: map[RequestID]*request{},
		attempts: map[AttemptID]*attempt{},
		routers:  map[RouterID]*routerState{},
		machines: map[MachineID]*machineState{},
	}
}

// Settings returns the checker's settings. Machines may be added to SlowStart.
func (c *Checker) Settings() Settings { return c.settings }

// Violations returns the first maxViolations violations.
func (c *Checker) Violations() []Violation { return c.violations }

// Stats returns the counters of what was observed.
func (c *Checker) Stats() Stats { return c.stats }

// Observe checks the next event. Events must be sorted by time.
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

// Finish ends the check at the given time.
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

// routerChanged handles the events of a router's process and network.
func (c *Checker) routerChanged(e Event) {
	r := c.router(e.Router)
	switch e.Kind {
	case RouterDied:
		for request := range r.open {
			request.settled = true
		}
		clear(r.open)
		r.notified = nil // a partition outlasts the process
	case RouterPartitioned, RouterRejoined:
		r.partitioned = e.Kind == RouterPartitioned
		r.rejoinedAt = e.At
	case RouterPaused, RouterResumed:
		r.paused = e.Kind == RouterPaused
		r.pauseChangedAt = e.At
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

// pausedSince reports whether a router was paused at some time since at, and so may not have been able to answer.
func (r *routerState) pausedSince(at Micros) bool {
	return r.paused || r.everPaused && r.pauseChangedAt >= at
}

// partitionedSince reports whether a router was partitioned at some time since at, and so may have received data late.
func (r *routerState) partitionedSince(at Micros) bool {
	return r.partitioned || r.rejoinedAt >= at && r.rejoinedAt > 0
}
