package routing

import "fmt"

// sent is a trip as the desk saw it.
type sent struct {
	v RequestID
	n AttemptNumber
	ForwardPlan
	at Micros
}

// desk records results and checks the rules at each of them.
type desk struct {
	r        *Router
	cases    []Class
	out      []sent
	sends    map[RequestID]int
	answers  map[RequestID]int
	maybeRan map[RequestID]EndpointID
	ranSince map[RequestID]Micros // when the first attempt that may have run was sent
	longest  Micros               // until a client that is told so comes back
	left     map[RequestID]bool
	asked    map[RequestID]Request
	arriving Request
	last     RequestID
	told     map[EndpointID]Endpoint
	twoAtOne bool
	released int
	deferred int
	faults   []string
	wakes    []Micros
	due      map[RequestID]Micros
	ageing   []told
	sought   []RequestID
}

// told is a copy worth renewing.
type told struct {
	object     ObjectID
	until, gap Micros
}

func (d *desk) fault(f string, a ...any) { d.faults = append(d.faults, fmt.Sprintf(f, a...)) }

func (d *desk) Accepted(v RequestID) {
	d.last, d.asked[v], d.due[v] = v, d.arriving, d.r.now+d.arriving.Remaining
}

func (d *desk) Forward(v RequestID, e ForwardPlan) {
	if d.answers[v] > 0 {
		d.fault("trip after the final answer")
	}
	for _, s := range d.out {
		if s.v == v && !d.twoAtOne {
			d.fault("two trips at once")
		}
	}
	use := d.cases[d.asked[v].Class]
	if _, ran := d.maybeRan[v]; ran && use.Effect == NonIdempotent {
		d.fault("one-shot visit sent again though it may have run")
	}
	if ran, is := d.maybeRan[v]; is && use.Effect == Keyed {
		if d.r.now-d.ranSince[v] > use.KeyWindow {
			d.fault("keyed request sent again after its window")
		}
		there, was := d.told[e.Cache], d.told[ran]
		if use.KeyScope != KeyScopeFleet && there.Zone != was.Zone || use.KeyScope == KeyScopeCell && there.Cell != was.Cell {
			d.fault("keyed request sent again where its repeat is not known")
		}
	}
	for _, id := range []EndpointID{e.Cache, e.Source} {
		if d.told[id].State != Up {
			d.fault("cache %d is sent to though it drains or is gone", id)
		}
	}
	if e.Deadline <= d.r.now {
		d.fault("trip ends before it starts")
	}
	d.out = append(d.out, sent{v, AttemptNumber(d.sends[v]), e, d.r.now})
	d.sends[v]++
}

func (d *desk) answer(v RequestID) {
	if d.answers[v]++; d.answers[v] > 1 {
		d.fault("second final answer")
	}
	if d.r.now > d.due[v] {
		d.fault("final answer %d late", d.r.now-d.due[v])
	}
}

func (d *desk) Reject(v RequestID, _ Micros) {
	if _, ran := d.maybeRan[v]; ran && d.cases[d.asked[v].Class].Effect == NonIdempotent {
		d.fault("one-shot visit deferred though it may have run")
	}
	use := d.cases[d.asked[v].Class]
	if _, ran := d.maybeRan[v]; ran && use.Effect == Keyed && (use.KeyScope != KeyScopeFleet || d.r.now+d.longest > d.ranSince[v]+use.KeyWindow) {
		d.fault("keyed request given back as retryable though its repeat may not be dropped")
	}
	d.deferred++
	d.answer(v)
}

func (d *desk) Fail(v RequestID)                { d.answer(v) }
func (d *desk) Cancel(RequestID, AttemptNumber) {}
func (d *desk) Release(RequestID)               { d.released++ }
func (d *desk) SetTimer(at Micros)              { d.wakes = append(d.wakes, at) }
func (d *desk) WatchEndpoints()                 {}
func (d *desk) LocateCopies(v RequestID)        { d.sought = append(d.sought, v) }
func (d *desk) Log(string)                      {}
func (d *desk) SuggestRefresh(v RequestID, until, gap Micros) {
	d.ageing = append(d.ageing, told{d.asked[v].Object, until, gap})
}
func (d *desk) check(t interface{ Fatal(...any) }) {
	if len(d.faults) > 0 {
		t.Fatal(d.faults)
	}
}

// arrive hands a visit in and gives its id.
func (d *desk) arrive(a Request) RequestID {
	d.arriving = a
	d.r.RequestArrived(a)
	return d.last
}

// end reports the end of outstanding trip i.
func (d *desk) end(i int, rep AttemptResult) {
	s := d.out[i]
	d.out = append(d.out[:i], d.out[i+1:]...)
	rep.Attempt = s.n
	if _, ran := d.maybeRan[s.v]; !ran && !rep.Outcome.ProvesNotRun() {
		d.maybeRan[s.v], d.ranSince[s.v] = s.Cache, s.at
	}
	if rep.Outcome == Succeeded && d.answers[s.v] == 0 && !d.left[s.v] {
		d.answer(s.v)
	}
	rep.RequestDone = d.answers[s.v] > 0
	d.r.AttemptEnded(s.v, rep)
}

// pass lets time go by: timers fire and trips run out when they are due.
func (d *desk) pass(span Micros) {
	for to := d.r.now + span; ; {
		next, wake, late := to, -1, -1
		for i, w := range d.wakes {
			if w <= next {
				next, wake = w, i
			}
		}
		for i, s := range d.out {
			if s.Deadline < next {
				next, late = s.Deadline, i
			}
		}
		d.r.SetTime(max(next, d.r.now))
		switch {
		case late >= 0:
			d.end(late, AttemptResult{Outcome: TimedOut})
		case wake >= 0:
			d.wakes = append(d.wakes[:wake], d.wakes[wake+1:]...)
			d.r.TimerFired()
		default:
			return
		}
	}
}

func (d *desk) list(list ...Endpoint) {
	for _, x := range list {
		d.told[x.ID] = x
	}
	d.r.UpdateEndpoints(list, false)
}

var testCases = []Class{
	{Effect: Idempotent, LatencyObjective: 500 * ms, SendTimeFactor: 2, PriorityWeight: 2},
	{Effect: Idempotent, LatencyObjective: 300 * ms, SendTimeFactor: 2, PriorityWeight: 1, FreshnessLifetime: 8 * second, Grace: 20 * second},
	{Effect: NonIdempotent, LatencyObjective: 600 * ms, PriorityWeight: 3, Write: true},
	{Effect: Keyed, KeyScope: KeyScopeFleet, KeyWindow: 2 * second, LatencyObjective: 600 * ms, PriorityWeight: 1},
}

// fleet is a branch of three caches, two parents (4, 5) and the origin (6).
func fleet() []Endpoint {
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

func bench(leave Permissions) *desk {
	d := &desk{cases: testCases, sends: map[RequestID]int{}, answers: map[RequestID]int{}, left: map[RequestID]bool{},
		maybeRan: map[RequestID]EndpointID{}, asked: map[RequestID]Request{}, told: map[EndpointID]Endpoint{}, due: map[RequestID]Micros{},
		twoAtOne: leave.Hedging, ranSince: map[RequestID]Micros{}, longest: leave.MaxRetryAfter}
	cold := SlowStart{InitialShare: 0.2, OverloadMultiple: 2, Ramp: 16 * second, OverloadWindow: 1500 * ms}
	d.r = New(7, d, testCases, nil, Locality{Zone: 1, ZoneRouters: 1, FleetRouters: 2, StreamKBPerSecond: 1000}, leave, cold, cold,
		PurgeTiming{Grace: second, Propagation: 6 * second})
	d.r.SetTime(100 * second)
	d.list(fleet()...)
	return d
}

var plainLeave = Permissions{MaxAttempts: 6, Bypass: true, SiblingFills: true, JoinFills: true}

func video(object int) Request {
	return Request{Class: 0, Object: ObjectID(object) * 0x9e3779b97f4a7c15, Remaining: 3 * second, SizeKB: 100, Tenant: -1}
}
