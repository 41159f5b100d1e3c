package routing

import (
	"fmt"
	"log/slog"
)

// forwarded is an attempt that the Router has started by Forward.
type forwarded struct {
	id     RequestID
	number AttemptNumber
	ForwardPlan
	at Micros // when the attempt was started
}

// suggestedRefresh is a call of SuggestRefresh.
type suggestedRefresh struct {
	object          ObjectID
	freshUntil, gap Micros
}

// fakeExecutor records the decisions of a Router and checks the invariants at each decision.
type fakeExecutor struct {
	router          *Router
	classes         []Class
	maxRetryAfter   Micros
	endpoints       map[EndpointID]Endpoint // as last listed
	arriving        Request                 // the request that RequestArrived is handling
	last            RequestID               // the last accepted request
	requests        map[RequestID]Request
	deadlines       map[RequestID]Micros
	attempts        map[RequestID]int // number of attempts
	answers         map[RequestID]int // number of final answers
	clientLeft      map[RequestID]bool
	mayHaveRunAt    map[RequestID]EndpointID
	mayHaveRunSince map[RequestID]Micros // when the first attempt that may have run was sent
	outstanding     []forwarded          // attempts in flight
	timers          []Micros             // times of the timers that have not fired
	released        int                  // number of calls of Release
	rejected        int                  // number of calls of Reject
	refreshes       []suggestedRefresh
	lookups         []RequestID // requests passed to LocateCopies
	violations      []string    // descriptions of violated invariants
}

func newFakeExecutor(permissions Permissions) *fakeExecutor {
	fake := &fakeExecutor{
		classes:         testClasses,
		maxRetryAfter:   permissions.MaxRetryAfter,
		endpoints:       map[EndpointID]Endpoint{},
		requests:        map[RequestID]Request{},
		deadlines:       map[RequestID]Micros{},
		attempts:        map[RequestID]int{},
		answers:         map[RequestID]int{},
		clientLeft:      map[RequestID]bool{},
		mayHaveRunAt:    map[RequestID]EndpointID{},
		mayHaveRunSince: map[RequestID]Micros{},
	}
	slowStart := SlowStart{InitialShare: 0.2, OverloadMultiple: 2, Ramp: 16 * second, OverloadWindow: 1500 * ms}
	locality := Locality{Zone: 1, ZoneRouters: 1, FleetRouters: 2, StreamKBPerSecond: 1000}
	fake.router = New(Config{
		Seed:            7,
		Executor:        fake,
		Classes:         testClasses,
		Locality:        locality,
		Permissions:     permissions,
		EdgeSlowStart:   slowStart,
		ParentSlowStart: slowStart,
		PurgeTiming:     PurgeTiming{Propagation: 6 * second},
	})
	fake.router.SetTime(100 * second)
	fake.update(testEndpoints()...)
	return fake
}

// plainPermissions permits bypasses, sibling fills and joined fills, and more attempts per request than maxAttempts.
var plainPermissions = Permissions{MaxAttempts: 6, Bypass: true, SiblingFills: true, JoinFills: true}

// testClasses is indexed by ClassID. 0: copies are never stale, see videoRequest; 1: copies become stale, see
// pageRequest; 2: non-idempotent writes; 3: keyed requests.
var testClasses = []Class{
	{Effect: Idempotent, LatencyObjective: 500 * ms, SendTimeFactor: 2, PriorityWeight: 2},
	{Effect: Idempotent, LatencyObjective: 300 * ms, SendTimeFactor: 2, PriorityWeight: 1,
		FreshnessLifetime: 8 * second, Grace: 20 * second},
	{Effect: NonIdempotent, LatencyObjective: 600 * ms, PriorityWeight: 3, Write: true},
	{Effect: Keyed, KeyScope: KeyScopeFleet, KeyWindow: 2 * second, LatencyObjective: 600 * ms, PriorityWeight: 1},
}

// testEndpoints returns a zone of four caches, two parents (4, 5) and the origin (6).
func testEndpoints() []Endpoint {
	var list []Endpoint
	for i := range 7 {
		entry := Endpoint{ID: EndpointID(i), NameHash: uint64(i+1) * 0x9e3779b97f4a7c15, Zone: 1, Weight: 1}
		switch {
		case i >= 6:
			entry.Tier, entry.Zone = Origin, 0
		case i >= 4:
			entry.Tier, entry.Zone = Parent, 0
		}
		list = append(list, entry)
	}
	return list
}

// videoRequest returns a request of class 0 for the object with the given number. The multiplication spreads the
// objects over the key space.
func videoRequest(object int) Request {
	return Request{Object: ObjectID(object) * 0x9e3779b97f4a7c15, Remaining: 3 * second, SizeKB: 100, Tenant: NoTenant}
}

func (fake *fakeExecutor) IDAssigned(id RequestID) {
	fake.last = id
	fake.requests[id] = fake.arriving
	fake.deadlines[id] = fake.router.now + fake.arriving.Remaining
}

func (fake *fakeExecutor) Forward(id RequestID, plan ForwardPlan) {
	now := fake.router.now
	if fake.answers[id] > 0 {
		fake.addViolation("an attempt started after the final answer")
	}
	for _, other := range fake.outstanding {
		if other.id == id {
			fake.addViolation("two attempts of a request in flight at once")
		}
	}
	fake.checkRepeat(id, plan)
	for _, to := range []EndpointID{plan.Cache, plan.Source} {
		if fake.endpoints[to].State != Up {
			fake.addViolation("an attempt uses endpoint %d, which is draining or removed", to)
		}
	}
	if plan.Deadline <= now {
		fake.addViolation("the deadline of an attempt is not after its start")
	}
	fake.outstanding = append(fake.outstanding, forwarded{id, AttemptNumber(fake.attempts[id]), plan, now})
	fake.attempts[id]++
}

// checkRepeat adds a violation if an attempt may take effect a second time.
func (fake *fakeExecutor) checkRepeat(id RequestID, plan ForwardPlan) {
	ranAt, ran := fake.mayHaveRunAt[id]
	if !ran {
		return
	}
	class := fake.classes[fake.requests[id].Class]
	if class.Effect == NonIdempotent {
		fake.addViolation("a non-idempotent request is sent again, although it may have run")
	}
	if class.Effect != Keyed {
		return
	}
	if fake.router.now-fake.mayHaveRunSince[id] > class.KeyWindow {
		fake.addViolation("a keyed request is sent again after its key window")
	}
	here, there := fake.endpoints[plan.Cache], fake.endpoints[ranAt]
	if class.KeyScope != KeyScopeFleet && here.Zone != there.Zone ||
		class.KeyScope == KeyScopeCell && here.Cell != there.Cell {
		fake.addViolation("a keyed request is sent again outside its key scope")
	}
}

func (fake *fakeExecutor) Reject(id RequestID, _ Micros) {
	class := fake.classes[fake.requests[id].Class]
	_, ran := fake.mayHaveRunAt[id]
	if ran && class.Effect == NonIdempotent {
		fake.addViolation("a non-idempotent request is rejected as safe to retry, although it may have run")
	}
	latestRetry := fake.router.now + fake.maxRetryAfter
	if ran && class.Effect == Keyed &&
		(class.KeyScope != KeyScopeFleet || latestRetry > fake.mayHaveRunSince[id]+class.KeyWindow) {
		fake.addViolation("a keyed request is rejected as safe to retry, although its repeat may not be dropped")
	}
	fake.rejected++
	fake.answer(id)
}

func (fake *fakeExecutor) Fail(id RequestID)         { fake.answer(id) }
func (fake *fakeExecutor) Release(RequestID)         { fake.released++ }
func (fake *fakeExecutor) SetTimer(at Micros)        { fake.timers = append(fake.timers, at) }
func (fake *fakeExecutor) WatchEndpoints()           {}
func (fake *fakeExecutor) LocateCopies(id RequestID) { fake.lookups = append(fake.lookups, id) }
func (fake *fakeExecutor) Log(string, ...slog.Attr)  {}

func (fake *fakeExecutor) SuggestRefresh(id RequestID, freshUntil, gap Micros) {
	fake.refreshes = append(fake.refreshes, suggestedRefresh{fake.requests[id].Object, freshUntil, gap})
}

func (fake *fakeExecutor) answer(id RequestID) {
	fake.answers[id]++
	if fake.answers[id] > 1 {
		fake.addViolation("second final answer")
	}
	if fake.router.now > fake.deadlines[id] {
		fake.addViolation("final answer %d us after the deadline", fake.router.now-fake.deadlines[id])
	}
}

func (fake *fakeExecutor) addViolation(format string, a ...any) {
	fake.violations = append(fake.violations, fmt.Sprintf(format, a...))
}

// check fails the test if an invariant was violated.
func (fake *fakeExecutor) check(t interface{ Fatal(...any) }) {
	if len(fake.violations) > 0 {
		t.Fatal("violated invariants:", fake.violations)
	}
}

// arrive passes a request to the router and returns its id.
func (fake *fakeExecutor) arrive(req Request) RequestID {
	fake.arriving = req
	fake.router.RequestArrived(req)
	return fake.last
}

// end ends the outstanding attempt with index i.
func (fake *fakeExecutor) end(i int, result AttemptResult) {
	ended := fake.outstanding[i]
	id := ended.id
	fake.outstanding = append(fake.outstanding[:i], fake.outstanding[i+1:]...)
	result.Attempt = ended.number
	if _, ran := fake.mayHaveRunAt[id]; !ran && !result.Outcome.ProvesNotRun() {
		fake.mayHaveRunAt[id] = ended.Cache
		fake.mayHaveRunSince[id] = ended.at
	}
	if result.Outcome == Succeeded && fake.answers[id] == 0 && !fake.clientLeft[id] {
		fake.answer(id)
	}
	result.RequestDone = fake.answers[id] > 0
	fake.router.AttemptEnded(id, result)
}

// advance lets time pass: timers fire and attempts time out when they are due.
func (fake *fakeExecutor) advance(span Micros) {
	for end := fake.router.now + span; ; {
		next, dueTimer, timedOut := end, -1, -1 // time and index of the next event
		for i, at := range fake.timers {
			if at <= next {
				next, dueTimer = at, i
			}
		}
		for i, sent := range fake.outstanding {
			if sent.Deadline < next {
				next, timedOut = sent.Deadline, i
			}
		}
		fake.router.SetTime(max(next, fake.router.now))
		switch {
		case timedOut >= 0:
			fake.end(timedOut, AttemptResult{Outcome: TimedOut})
		case dueTimer >= 0:
			fake.timers = append(fake.timers[:dueTimer], fake.timers[dueTimer+1:]...)
			fake.router.TimerFired()
		default:
			return
		}
	}
}

// update updates entries of the endpoint list.
func (fake *fakeExecutor) update(list ...Endpoint) {
	for _, entry := range list {
		fake.endpoints[entry.ID] = entry
	}
	fake.router.UpdateEndpoints(list, false)
}
