package invariants

// maxViolations limits the number of violations that a Checker keeps.
const maxViolations = 16

// Checker checks the five rules in one run. It is not safe for concurrent use.
type Checker struct {
	settings   Settings
	violations []Violation
	stats      Stats

	requests   map[RequestID]*request
	byDeadline []*request // requests not yet checked for an answer, sorted by deadline
	attempts   map[AttemptID]*attempt
	routers    map[RouterID]*routerState
	machines   map[MachineID]*machineState

	notices            []Event // EndpointListed and Purged, in the order of their numbers; the first number is 1
	discoveryDown      bool
	discoveryChangedAt Micros // when the last outage of discovery began or ended; 0: there was none
}

// request is what has been observed of a request.
type request struct {
	sent            Event
	answer          *Event // nil: none yet
	clientLeft      *Event // nil: the client has not left
	connectionEnded bool   // no answer is required because the connection or the router's process has ended
	attempts        []*attempt
	possibleRuns    int // number of attempts that were received and are not proven not to have run
	executions      []Event
	rejected        bool // the answer is a rejection
}

// attempt is what has been observed of an attempt.
type attempt struct {
	received Event
	ended    *Event // nil: it is running
	request  *request
}

// routerState is what has been observed of a router.
type routerState struct {
	notified           []Micros // when it was notified of each notice; notice n is at index n-1
	everPaused         bool     // by a fault, as RouterPaused describes it
	paused             bool
	pauseChangedAt     Micros // when it was last paused or resumed
	partitioned        bool
	partitionChangedAt Micros                // when it was last partitioned or rejoined; 0: never
	open               map[*request]struct{} // requests that its current process may still have to answer
}

// machineState is what has been observed of a machine.
type machineState struct {
	unusableNotice int // number of the notice that it drains or is gone; 0: it is usable
	startedAt      Micros
	cold           bool      // it has started, and is not known to be warm
	startNotice    int       // number of the notice that announced the start; 0: none
	arrivals       []arrival // within SlowStart.Window, while the machine is cold
	overloaded     bool      // it was overloaded while cold; no further overload of the start is checked
}

// New returns a Checker with the given settings.
func New(s Settings) *Checker {
	return &Checker{
		settings: s,
		requests: map[RequestID]*request{},
		attempts: map[AttemptID]*attempt{},
		routers:  map[RouterID]*routerState{},
		machines: map[MachineID]*machineState{},
	}
}

// Settings returns the checker's settings. The caller may add machines to their map SlowStart.
func (c *Checker) Settings() Settings { return c.settings }

// Violations returns the first maxViolations violations.
func (c *Checker) Violations() []Violation { return c.violations }

// Stats returns the counters of observed requests, attempts and executions.
func (c *Checker) Stats() Stats { return c.stats }

// Observe checks the next event. The events must be passed in the order of Event.At.
func (c *Checker) Observe(e Event) {
	c.checkUnanswered(e.At)
	switch e.Kind {
	case RequestSent:
		c.requestSent(e)
	case AnswerReceived:
		c.answerReceived(e)
	case ClientLeft, ConnectionFault, ConnectionDropped:
		c.requestAbandoned(e)
	case AttemptReceived:
		c.attemptReceived(e)
	case AttemptEnded:
		c.attemptEnded(e)
	case Executed:
		c.executed(e)
	case FillReceived:
		c.countArrival(e)
	case EndpointListed, Purged:
		c.announced(e)
	case Notified:
		c.notified(e)
	case MachineStarted:
		m := c.machine(e.Machine)
		*m = machineState{unusableNotice: m.unusableNotice, startedAt: e.At, cold: true}
	case DiscoveryDown, DiscoveryUp:
		c.discoveryDown = e.Kind == DiscoveryDown
		c.discoveryChangedAt = e.At
	default:
		c.routerChanged(e)
	}
}

// Finish ends the check at the given time, and reports requests that should have been answered by then.
func (c *Checker) Finish(at Micros) { c.checkUnanswered(at) }

// attemptReceived checks rules 1 to 4 when a machine receives an attempt.
func (c *Checker) attemptReceived(e Event) {
	c.stats.Attempts++
	c.checkDrains(e)
	c.countArrival(e)
	r := c.requests[e.Request]
	if r == nil { // the attempt is background work of the router
		return
	}
	a := &attempt{received: e, request: r}
	c.attempts[e.Attempt] = a
	c.checkAttemptWanted(r, e)
	c.checkDeadlinePassedOn(r, e)
	c.checkKeyWindow(r, e)
	r.attempts = append(r.attempts, a)
	c.addPossibleRuns(r, 1)
}

// attemptEnded checks rules 2 and 5 when an attempt ends.
func (c *Checker) attemptEnded(e Event) {
	a := c.attempts[e.Attempt]
	if a == nil || a.ended != nil {
		return
	}
	a.ended = &e
	if e.Outcome == NotRun {
		c.addPossibleRuns(a.request, -1)
	}
	if !c.settings.Hedging {
		c.checkOverlap(a)
	}
	if e.Outcome == Succeeded && e.EffectiveAt != 0 {
		c.checkPurges(a)
	}
}

// routerChanged handles the events of a router's process and of its connection to the network. After the end of a
// process, its open requests need no answer, and the next process has not been notified of anything.
func (c *Checker) routerChanged(e Event) {
	r := c.router(e.Router)
	switch e.Kind {
	case RouterDied:
		for request := range r.open {
			request.connectionEnded = true
		}
		clear(r.open)
		r.notified = nil // partitioned stays set: a partition of the host outlasts the process
	case RouterPartitioned, RouterRejoined:
		r.partitioned = e.Kind == RouterPartitioned
		r.partitionChangedAt = e.At
	case RouterPaused, RouterResumed:
		r.paused = e.Kind == RouterPaused
		r.pauseChangedAt = e.At
		r.everPaused = true
	}
}

// report records a violation, unless there are maxViolations already.
func (c *Checker) report(rule int, at Micros, id RequestID, reason string, events ...Event) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{rule, at, id, reason, events})
	}
}

// router returns the state of a router, which it creates if necessary.
func (c *Checker) router(id RouterID) *routerState {
	if c.routers[id] == nil {
		c.routers[id] = &routerState{open: map[*request]struct{}{}}
	}
	return c.routers[id]
}

// machine returns the state of a machine, which it creates if necessary.
func (c *Checker) machine(id MachineID) *machineState {
	if c.machines[id] == nil {
		c.machines[id] = &machineState{}
	}
	return c.machines[id]
}

// pausedSince reports whether a router was paused, as RouterPaused describes it, at some time since at, and so may not
// have been able to answer.
func (r *routerState) pausedSince(at Micros) bool {
	return r.paused || r.everPaused && r.pauseChangedAt >= at
}

// partitionedSince reports whether a router was partitioned at some time since at, and so may have received data late.
func (r *routerState) partitionedSince(at Micros) bool {
	return r.partitioned || r.partitionChangedAt >= at && r.partitionChangedAt > 0
}
