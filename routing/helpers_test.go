package routing

import "fmt"

// sent is a trip as the desk saw it.
type sent struct {
	v VisitID
	n TripNo
	Errand
	at Micros
}

// desk records results and checks the rules at each of them.
type desk struct {
	r        *Router
	cases    []UseCase
	out      []sent
	sends    map[VisitID]int
	answers  map[VisitID]int
	maybeRan map[VisitID]CacheID
	ranSince map[VisitID]Micros // when the first attempt that may have run was sent
	longest  Micros             // until a client that is told so comes back
	left     map[VisitID]bool
	asked    map[VisitID]Asked
	arriving Asked
	last     VisitID
	told     map[CacheID]Listed
	twoAtOne bool
	released int
	deferred int
	faults   []string
	wakes    []Micros
	due      map[VisitID]Micros
	ageing   []told
	sought   []VisitID
}

// told is a copy worth renewing.
type told struct {
	object     ObjectID
	until, gap Micros
}

func (d *desk) fault(f string, a ...any) { d.faults = append(d.faults, fmt.Sprintf(f, a...)) }

func (d *desk) Taken(v VisitID) {
	d.last, d.asked[v], d.due[v] = v, d.arriving, d.r.now+d.arriving.Left
}

func (d *desk) Send(v VisitID, e Errand) {
	if d.answers[v] > 0 {
		d.fault("trip after the final answer")
	}
	for _, s := range d.out {
		if s.v == v && !d.twoAtOne {
			d.fault("two trips at once")
		}
	}
	use := d.cases[d.asked[v].UseCase]
	if _, ran := d.maybeRan[v]; ran && use.Effect == OneShot {
		d.fault("one-shot visit sent again though it may have run")
	}
	if ran, is := d.maybeRan[v]; is && use.Effect == Stamped {
		if d.r.now-d.ranSince[v] > use.Window {
			d.fault("keyed request sent again after its window")
		}
		there, was := d.told[e.Cache], d.told[ran]
		if use.Reach != Everywhere && there.Zone != was.Zone || use.Reach == OwnCell && there.Cell != was.Cell {
			d.fault("keyed request sent again where its repeat is not known")
		}
	}
	for _, id := range []CacheID{e.Cache, e.Source} {
		if d.told[id].Standing != Up {
			d.fault("cache %d is sent to though it drains or is gone", id)
		}
	}
	if e.Until <= d.r.now {
		d.fault("trip ends before it starts")
	}
	d.out = append(d.out, sent{v, TripNo(d.sends[v]), e, d.r.now})
	d.sends[v]++
}

func (d *desk) answer(v VisitID) {
	if d.answers[v]++; d.answers[v] > 1 {
		d.fault("second final answer")
	}
	if d.r.now > d.due[v] {
		d.fault("final answer %d late", d.r.now-d.due[v])
	}
}

func (d *desk) Defer(v VisitID, _ Micros) {
	if _, ran := d.maybeRan[v]; ran && d.cases[d.asked[v].UseCase].Effect == OneShot {
		d.fault("one-shot visit deferred though it may have run")
	}
	use := d.cases[d.asked[v].UseCase]
	if _, ran := d.maybeRan[v]; ran && use.Effect == Stamped && (use.Reach != Everywhere || d.r.now+d.longest > d.ranSince[v]+use.Window) {
		d.fault("keyed request given back as retryable though its repeat may not be dropped")
	}
	d.deferred++
	d.answer(v)
}

func (d *desk) Scrap(v VisitID)          { d.answer(v) }
func (d *desk) Withdraw(VisitID, TripNo) {}
func (d *desk) Release(VisitID)          { d.released++ }
func (d *desk) Wake(at Micros)           { d.wakes = append(d.wakes, at) }
func (d *desk) Follow()                  {}
func (d *desk) Seek(v VisitID)           { d.sought = append(d.sought, v) }
func (d *desk) Note(string)              {}
func (d *desk) Ageing(v VisitID, until, gap Micros) {
	d.ageing = append(d.ageing, told{d.asked[v].Object, until, gap})
}
func (d *desk) check(t interface{ Fatal(...any) }) {
	if len(d.faults) > 0 {
		t.Fatal(d.faults)
	}
}

// arrive hands a visit in and gives its id.
func (d *desk) arrive(a Asked) VisitID {
	d.arriving = a
	d.r.Arrive(a)
	return d.last
}

// end reports the end of outstanding trip i.
func (d *desk) end(i int, rep Report) {
	s := d.out[i]
	d.out = append(d.out[:i], d.out[i+1:]...)
	rep.Trip = s.n
	if _, ran := d.maybeRan[s.v]; !ran && !rep.Ending.ProvesUnrun() {
		d.maybeRan[s.v], d.ranSince[s.v] = s.Cache, s.at
	}
	if rep.Ending == Delivered && d.answers[s.v] == 0 && !d.left[s.v] {
		d.answer(s.v)
	}
	rep.Over = d.answers[s.v] > 0
	d.r.TripEnded(s.v, rep)
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
			if s.Until < next {
				next, late = s.Until, i
			}
		}
		d.r.Clock(max(next, d.r.now))
		switch {
		case late >= 0:
			d.end(late, Report{Ending: TooSlow})
		case wake >= 0:
			d.wakes = append(d.wakes[:wake], d.wakes[wake+1:]...)
			d.r.Woke()
		default:
			return
		}
	}
}

func (d *desk) list(list ...Listed) {
	for _, x := range list {
		d.told[x.ID] = x
	}
	d.r.List(list, false)
}

var testCases = []UseCase{
	{Effect: Harmless, Expected: 500 * ms, Stretch: 2, Importance: 2},
	{Effect: Harmless, Expected: 300 * ms, Stretch: 2, Importance: 1, Fresh: 8 * second, Grace: 20 * second},
	{Effect: OneShot, Expected: 600 * ms, Importance: 3, Write: true},
	{Effect: Stamped, Reach: Everywhere, Window: 2 * second, Expected: 600 * ms, Importance: 1},
}

// fleet is a branch of three caches, two parents (4, 5) and the origin (6).
func fleet() []Listed {
	var l []Listed
	for i := range 7 {
		x := Listed{ID: CacheID(i), Mark: uint64(i+1) * 0x9e3779b97f4a7c15, Zone: 1, Weight: 1}
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

func bench(leave Leave) *desk {
	d := &desk{cases: testCases, sends: map[VisitID]int{}, answers: map[VisitID]int{}, left: map[VisitID]bool{},
		maybeRan: map[VisitID]CacheID{}, asked: map[VisitID]Asked{}, told: map[CacheID]Listed{}, due: map[VisitID]Micros{},
		twoAtOne: leave.TwoAtOnce, ranSince: map[VisitID]Micros{}, longest: leave.LongestComeback}
	cold := ColdStart{Least: 0.2, Multiple: 2, Ramp: 16 * second, Window: 1500 * ms}
	d.r = New(7, d, testCases, nil, Branch{Zone: 1, Crew: 1, Fleet: 2, PaceKB: 1000}, leave, cold, cold,
		Purges{Grace: second, Takes: 6 * second})
	d.r.Clock(100 * second)
	d.list(fleet()...)
	return d
}

var plainLeave = Leave{Trips: 6, Direct: true, Siblings: true, Join: true}

func video(object int) Asked {
	return Asked{UseCase: 0, Object: ObjectID(object) * 0x9e3779b97f4a7c15, Left: 3 * second, KB: 100, Tenant: -1}
}
