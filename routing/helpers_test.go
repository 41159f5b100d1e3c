package routing

import "fmt"

// forwarded is a trip as the desk saw it.
type forwarded struct {
	id     RequestID
	number AttemptNumber
	ForwardPlan
	at Micros
}

// fakeExecutor records results and checks the rules at each of them.
type fakeExecutor struct {
	router        *Router
	classes       []Class
	outstanding   []forwarded
	attempts      map[RequestID]int
	answers       map[RequestID]int
	maybeRan      map[RequestID]EndpointID
	ranSince      map[RequestID]Micros // when the first attempt that may have run was sent
	maxRetryAfter Micros               // until a client that is told so comes back
	clientLeft    map[RequestID]bool
	requests      map[RequestID]Request
	arriving      Request
	last          RequestID
	endpoints     map[EndpointID]Endpoint
	released      int
	rejected      int
	violations    []string
	timers        []Micros
	deadlines     map[RequestID]Micros
	refreshes     []refresh
	lookups       []RequestID
}

// refresh is a copy worth renewing.
type refresh struct {
	object          ObjectID
	freshUntil, gap Micros
}

func (fake *fakeExecutor) violation(f string, a ...any) {
	fake.violations = append(fake.violations, fmt.Sprintf(f, a...))
}

func (fake *fakeExecutor) Accepted(v RequestID) {
	fake.last, fake.requests[v], fake.deadlines[v] = v, fake.arriving, fake.router.now+fake.arriving.Remaining
}

func (fake *fakeExecutor) Forward(v RequestID, e ForwardPlan) {
	if fake.answers[v] > 0 {
		fake.violation("trip after the final answer")
	}
	for _, s := range fake.outstanding {
		if s.id == v {
			fake.violation("two trips at once")
		}
	}
	use := fake.classes[fake.requests[v].Class]
	if _, ran := fake.maybeRan[v]; ran && use.Effect == NonIdempotent {
		fake.violation("one-shot visit sent again though it may have run")
	}
	if ran, is := fake.maybeRan[v]; is && use.Effect == Keyed {
		if fake.router.now-fake.ranSince[v] > use.KeyWindow {
			fake.violation("keyed request sent again after its window")
		}
		there, was := fake.endpoints[e.Cache], fake.endpoints[ran]
		if use.KeyScope != KeyScopeFleet && there.Zone != was.Zone || use.KeyScope == KeyScopeCell && there.Cell != was.Cell {
			fake.violation("keyed request sent again where its repeat is not known")
		}
	}
	for _, id := range []EndpointID{e.Cache, e.Source} {
		if fake.endpoints[id].State != Up {
			fake.violation("cache %d is sent to though it drains or is gone", id)
		}
	}
	if e.Deadline <= fake.router.now {
		fake.violation("trip ends before it starts")
	}
	fake.outstanding = append(fake.outstanding, forwarded{v, AttemptNumber(fake.attempts[v]), e, fake.router.now})
	fake.attempts[v]++
}

func (fake *fakeExecutor) answer(v RequestID) {
	if fake.answers[v]++; fake.answers[v] > 1 {
		fake.violation("second final answer")
	}
	if fake.router.now > fake.deadlines[v] {
		fake.violation("final answer %d late", fake.router.now-fake.deadlines[v])
	}
}

func (fake *fakeExecutor) Reject(v RequestID, _ Micros) {
	if _, ran := fake.maybeRan[v]; ran && fake.classes[fake.requests[v].Class].Effect == NonIdempotent {
		fake.violation("one-shot visit deferred though it may have run")
	}
	use := fake.classes[fake.requests[v].Class]
	if _, ran := fake.maybeRan[v]; ran && use.Effect == Keyed && (use.KeyScope != KeyScopeFleet || fake.router.now+fake.maxRetryAfter > fake.ranSince[v]+use.KeyWindow) {
		fake.violation("keyed request given back as retryable though its repeat may not be dropped")
	}
	fake.rejected++
	fake.answer(v)
}

func (fake *fakeExecutor) Fail(v RequestID)         { fake.answer(v) }
func (fake *fakeExecutor) Release(RequestID)        { fake.released++ }
func (fake *fakeExecutor) SetTimer(at Micros)       { fake.timers = append(fake.timers, at) }
func (fake *fakeExecutor) WatchEndpoints()          {}
func (fake *fakeExecutor) LocateCopies(v RequestID) { fake.lookups = append(fake.lookups, v) }
func (fake *fakeExecutor) Log(string, ...Field)     {}
func (fake *fakeExecutor) SuggestRefresh(v RequestID, until, gap Micros) {
	fake.refreshes = append(fake.refreshes, refresh{fake.requests[v].Object, until, gap})
}
func (fake *fakeExecutor) check(t interface{ Fatal(...any) }) {
	if len(fake.violations) > 0 {
		t.Fatal(fake.violations)
	}
}

// arrive hands a visit in and gives its id.
func (fake *fakeExecutor) arrive(a Request) RequestID {
	fake.arriving = a
	fake.router.RequestArrived(a)
	return fake.last
}

// end reports the end of outstanding trip i.
func (fake *fakeExecutor) end(i int, rep AttemptResult) {
	s := fake.outstanding[i]
	fake.outstanding = append(fake.outstanding[:i], fake.outstanding[i+1:]...)
	rep.Attempt = s.number
	if _, ran := fake.maybeRan[s.id]; !ran && !rep.Outcome.ProvesNotRun() {
		fake.maybeRan[s.id], fake.ranSince[s.id] = s.Cache, s.at
	}
	if rep.Outcome == Succeeded && fake.answers[s.id] == 0 && !fake.clientLeft[s.id] {
		fake.answer(s.id)
	}
	rep.RequestDone = fake.answers[s.id] > 0
	fake.router.AttemptEnded(s.id, rep)
}

// advance lets time go by: timers fire and trips run out when they are due.
func (fake *fakeExecutor) advance(span Micros) {
	for to := fake.router.now + span; ; {
		next, wake, late := to, -1, -1
		for i, w := range fake.timers {
			if w <= next {
				next, wake = w, i
			}
		}
		for i, s := range fake.outstanding {
			if s.Deadline < next {
				next, late = s.Deadline, i
			}
		}
		fake.router.SetTime(max(next, fake.router.now))
		switch {
		case late >= 0:
			fake.end(late, AttemptResult{Outcome: TimedOut})
		case wake >= 0:
			fake.timers = append(fake.timers[:wake], fake.timers[wake+1:]...)
			fake.router.TimerFired()
		default:
			return
		}
	}
}

func (fake *fakeExecutor) update(list ...Endpoint) {
	for _, x := range list {
		fake.endpoints[x.ID] = x
	}
	fake.router.UpdateEndpoints(list, false)
}

var testClasses = []Class{
	{Effect: Idempotent, LatencyObjective: 500 * ms, SendTimeFactor: 2, PriorityWeight: 2},
	{Effect: Idempotent, LatencyObjective: 300 * ms, SendTimeFactor: 2, PriorityWeight: 1, FreshnessLifetime: 8 * second, Grace: 20 * second},
	{Effect: NonIdempotent, LatencyObjective: 600 * ms, PriorityWeight: 3, Write: true},
	{Effect: Keyed, KeyScope: KeyScopeFleet, KeyWindow: 2 * second, LatencyObjective: 600 * ms, PriorityWeight: 1},
}

// testEndpoints is a branch of three caches, two parents (4, 5) and the origin (6).
func testEndpoints() []Endpoint {
	var l []Endpoint
	for i := range 7 {
		x := Endpoint{ID: EndpointID(i), NameHash: uint64(i+1) * 0x9e3779b97f4a7c15, Zone: 1, Weight: 1}
		switch {
		case i >= 6:
			x.Tier, x.Zone = Origin, 0
		case i >= 4:
			x.Tier, x.Zone = Parent, 0
		}
		l = append(l, x)
	}
	return l
}

func newFake(leave Permissions) *fakeExecutor {
	fake := &fakeExecutor{classes: testClasses, attempts: map[RequestID]int{}, answers: map[RequestID]int{}, clientLeft: map[RequestID]bool{},
		maybeRan: map[RequestID]EndpointID{}, requests: map[RequestID]Request{}, endpoints: map[EndpointID]Endpoint{}, deadlines: map[RequestID]Micros{},
		ranSince: map[RequestID]Micros{}, maxRetryAfter: leave.MaxRetryAfter}
	cold := SlowStart{InitialShare: 0.2, OverloadMultiple: 2, Ramp: 16 * second, OverloadWindow: 1500 * ms}
	fake.router = New(7, fake, testClasses, nil, Locality{Zone: 1, ZoneRouters: 1, FleetRouters: 2, StreamKBPerSecond: 1000}, leave, cold, cold,
		PurgeTiming{Propagation: 6 * second})
	fake.router.SetTime(100 * second)
	fake.update(testEndpoints()...)
	return fake
}

var plainPermissions = Permissions{MaxAttempts: 6, Bypass: true, SiblingFills: true, JoinFills: true}

func videoRequest(object int) Request {
	return Request{Class: 0, Object: ObjectID(object) * 0x9e3779b97f4a7c15, Remaining: 3 * second, SizeKB: 100, Tenant: -1}
}
