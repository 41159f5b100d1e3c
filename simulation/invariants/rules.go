package invariants

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Terms are the settings that the rules go by.
type Terms struct {
	Grace    Micros // after a drain was told
	Obey     Micros // after a purge was told
	Slack    Micros // each time limit is longer by this
	Begin    Micros // after a client has left, in which an attempt of its request may still begin
	Spare    Micros // by so much the deadline passed on may be more than what the client has left
	Lost     Micros // beyond its time, after which a visit without an answer is lost
	Late     Micros // what the bulletin tells counts as told then, whether or not it came
	Back     Micros // but not sooner than this after a router that got no turn, or was out of reach, is back
	Window   Micros // in which a stamped visit's repeats are known
	Parallel bool   // a visit may have several trips out
	Cold     map[Machine]Cold
}

// Cold says what a machine that has just started bears.
type Cold struct {
	Least    float64 // share of Bears at its start
	Ramp     Micros  // until it bears all
	Multiple float64
	Window   Micros
	Bears    float64 // trips of mean work a second, warm
}

const (
	twoThirds    = 2.0 / 3
	breachesMost = 16 // that are kept
)

// Watch is the watch over one history.
type Watch struct {
	terms    Terms
	breaches []Breach
	visits   map[Visit]*visit
	trips    map[Trip]*trip
	due      []*visit // by when they must have been answered
	routers  map[Router]*router
	machines map[Machine]*machine
	news     []Event // what the bulletin has told, by number from 1
	counts   Counts
	mute     bool   // the bulletin is out of reach
	spoke    Micros // and was until then
}

// Counts are what was seen.
type Counts struct{ Visits, Delivered, Deferred, Scrapped, Left, Trips, Runs, Excused int }

type visit struct {
	asked    Event
	answer   *Event
	left     *Event
	over     bool // nothing is owed any more
	trips    []*trip
	mayRun   int // trips that came and are not proven unrun
	ran      []Event
	deferred bool
}

type trip struct {
	came  Event
	ended *Event
	v     *visit
}

type router struct {
	told    []Micros // when, by the bulletin's number
	halted  bool
	resumed Micros // last; with halted, since when it is
	parted  bool
	joined  Micros // its network again, last; 0: never parted
	ever    bool
	open    map[*visit]struct{}
}

type machine struct {
	closed  int // number of the event that closed it; 0: open
	started Micros
	cold    bool
	listed  int // number of the event that told of the start
	came    []arrival
	fell    bool
}

type arrival struct {
	at   Micros
	told bool
	e    Event
}

// New begins a watch.
func New(t Terms) *Watch {
	return &Watch{terms: t, visits: map[Visit]*visit{}, trips: map[Trip]*trip{}, routers: map[Router]*router{},
		machines: map[Machine]*machine{}}
}

// Terms are what it goes by; machines may be added to Cold.
func (w *Watch) Terms() Terms { return w.terms }

// Breaches are the rules broken so far.
func (w *Watch) Breaches() []Breach { return w.breaches }

// Counts tells what was seen.
func (w *Watch) Counts() Counts { return w.counts }

func (w *Watch) breach(rule int, at Micros, v Visit, why string, events ...Event) {
	if len(w.breaches) < breachesMost {
		w.breaches = append(w.breaches, Breach{rule, at, v, why, events})
	}
}

func (w *Watch) router(r Router) *router {
	if w.routers[r] == nil {
		w.routers[r] = &router{open: map[*visit]struct{}{}}
	}
	return w.routers[r]
}

func (w *Watch) machine(m Machine) *machine {
	if w.machines[m] == nil {
		w.machines[m] = &machine{}
	}
	return w.machines[m]
}

// told is when a router has been told an event of the bulletin's.
func (w *Watch) told(r Router, no int) (Micros, bool) {
	if no <= 0 || no > len(w.news) {
		return 0, false
	}
	x := w.router(r)
	at, is := w.news[no-1].At+w.terms.Late, !x.halted && !w.mute
	if x.ever && x.resumed > w.news[no-1].At { // it could not hear all the while
		at = max(at, x.resumed+w.terms.Back)
	}
	if w.spoke > w.news[no-1].At {
		at = max(at, w.spoke+w.terms.Back)
	}
	if no <= len(x.told) {
		return min(at, x.told[no-1]), true
	}
	return at, is
}

// Take takes the next event; events come in the order of their time.
func (w *Watch) Take(e Event) {
	w.overdue(e.At)
	switch e.What {
	case Asked:
		w.asked(e)
	case Answered:
		w.answered(e)
	case Left, Excused, Dropped:
		w.gone(e)
	case Came:
		w.came(e)
	case Ended:
		w.ended(e)
	case Ran:
		w.ran(e)
	case Filled:
		w.arrives(e)
	case Listed, Purged:
		w.posted(e)
	case Told:
		r := w.router(e.Router)
		for len(r.told) < e.No {
			r.told = append(r.told, e.At)
		}
	case Started:
		m := w.machine(e.Machine)
		*m = machine{closed: m.closed, started: e.At, cold: true}
	case Died:
		r := w.router(e.Router)
		for v := range r.open {
			v.over = true
		}
		clear(r.open)
		r.told = nil // that it is out of reach is its machine's, and stays
	case Muted, Spoke:
		w.mute, w.spoke = e.What == Muted, e.At
	case Parted, Rejoined:
		r := w.router(e.Router)
		r.parted, r.joined = e.What == Parted, e.At
	case Halted, Resumed:
		r := w.router(e.Router)
		r.halted, r.resumed, r.ever = e.What == Halted, e.At, true
	}
}

// Finish ends the watch at a time.
func (w *Watch) Finish(at Micros) { w.overdue(at) }

// asked: rule 1 begins.
func (w *Watch) asked(e Event) {
	w.counts.Visits++
	v := &visit{asked: e}
	w.visits[e.Visit] = v
	w.router(e.Router).open[v] = struct{}{}
	by := e.Until + w.terms.Lost
	at, _ := slices.BinarySearchFunc(w.due, by, func(o *visit, by Micros) int {
		if o.asked.Until+w.terms.Lost <= by {
			return -1
		}
		return 1
	})
	w.due = slices.Insert(w.due, at, v)
}

// spared tells whether a router got no turn since a time: it can't have answered then.
func (w *Watch) spared(r *router, since Micros) bool { return r.halted || r.ever && r.resumed >= since }

// cutOff tells whether a router's network was gone since a time: it can't know how long what it reads was on its way.
func (r *router) cutOff(since Micros) bool { return r.parted || r.joined >= since && r.joined > 0 }

// overdue: rule 1, each visit gets its answer in time.
func (w *Watch) overdue(now Micros) {
	n := 0
	for ; n < len(w.due) && w.due[n].asked.Until+w.terms.Lost < now; n++ {
		v := w.due[n]
		r := w.router(v.asked.Router)
		if v.over || v.answer != nil || v.left != nil {
			continue
		}
		if w.spared(r, v.asked.At) {
			w.counts.Excused++
			continue
		}
		w.breach(1, v.asked.Until+w.terms.Lost, v.asked.Visit, "no answer", w.story(v)...)
	}
	w.due = slices.Delete(w.due, 0, n)
}

// story is what has happened to a visit.
func (w *Watch) story(v *visit) []Event {
	s := []Event{v.asked}
	for _, t := range v.trips {
		s = append(s, t.came)
		if t.ended != nil {
			s = append(s, *t.ended)
		}
	}
	if v.answer != nil {
		s = append(s, *v.answer)
	}
	slices.SortStableFunc(s, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return s
}

// answered: rule 1, one answer, in time; rule 2, a deferral's promise.
func (w *Watch) answered(e Event) {
	v := w.visits[e.Visit]
	switch {
	case v == nil:
		w.breach(1, e.At, e.Visit, "an answer to nothing asked", e)
		return
	case v.answer != nil:
		w.breach(1, e.At, e.Visit, "a second answer", append(w.story(v), e)...)
		return
	}
	if v.answer = &e; v.left != nil { // it crossed its client's leaving, or came later
		if e.Sent > v.left.At+w.terms.Slack && !w.spared(w.router(e.Router), v.left.At) {
			w.breach(1, e.At, e.Visit, "answered after its client had left", append(w.story(v), *v.left)...)
		}
		return
	}
	delete(w.router(e.Router).open, v)
	switch e.Word {
	case Delivered:
		w.counts.Delivered++
	case Deferred:
		w.counts.Deferred++
	default:
		w.counts.Scrapped++
	}
	if e.Sent > v.asked.Until+w.terms.Slack && !w.spared(w.router(e.Router), v.asked.At) {
		w.breach(1, e.At, e.Visit, fmt.Sprintf("answered %.3fs late", (e.Sent-v.asked.Until).Seconds()), w.story(v)...)
	}
	if e.Word == Deferred {
		v.deferred = true
		w.promise(v)
	}
}

// promise: rule 2, what was deferred has not run and will not.
func (w *Watch) promise(v *visit) {
	if v.deferred && v.asked.Effect == OneShot && v.mayRun > 0 {
		w.breach(2, v.answer.At, v.asked.Visit, "deferred, and it may have run", w.story(v)...)
	}
}

// gone ends what is owed.
func (w *Watch) gone(e Event) {
	v := w.visits[e.Visit]
	if v == nil || v.answer != nil || v.over || v.left != nil {
		return
	}
	delete(w.router(v.asked.Router).open, v)
	switch e.What {
	case Left:
		w.counts.Left++
		v.left = &e
	case Excused:
		w.counts.Excused++
		v.over = true
	default:
		v.over = true
		if !w.spared(w.router(v.asked.Router), v.asked.At) {
			w.breach(1, e.At, e.Visit, "its connection was ended without an answer", append(w.story(v), e)...)
		}
	}
}

// came: rules 1 to 4 for one trip.
func (w *Watch) came(e Event) {
	w.counts.Trips++
	for i, m := range [...]Machine{e.Machine, e.Source} {
		if m == None || i == 1 && m == e.Machine {
			continue
		}
		if no := w.machine(m).closed; no > 0 {
			if at, ok := w.told(e.Router, no); ok && e.Sent > at+w.terms.Grace+w.terms.Slack {
				why := "a trip to a machine that drains or is gone"
				if i == 1 {
					why = "a source that drains or is gone"
				}
				w.breach(3, e.At, e.Visit, fmt.Sprintf("%s, %.3fs after that was told", why, (e.Sent-at).Seconds()), w.news[no-1], e)
			}
		}
	}
	w.arrives(e)
	v := w.visits[e.Visit]
	if v == nil { // of no client's: background work
		return
	}
	t := &trip{came: e, v: v}
	w.trips[e.Trip] = t
	if v.answer != nil && e.Sent > v.answer.Sent {
		w.breach(1, e.At, e.Visit, "a trip after the final answer", append(w.story(v), e)...)
	}
	if v.left != nil && e.Sent > v.left.At+w.terms.Begin+w.terms.Slack && !w.router(e.Router).cutOff(v.left.At) { // one that had no turn looks first
		w.breach(1, e.At, e.Visit, fmt.Sprintf("an attempt began %.3fs after its client had left", (e.Sent-v.left.At).Seconds()),
			append(w.story(v), *v.left, e)...)
	}
	if e.Sent+e.Budget > v.asked.Until+w.terms.Spare && !w.router(e.Router).cutOff(v.asked.At) { // one that had no turn knows so
		w.breach(1, e.At, e.Visit, fmt.Sprintf("the deadline passed on is %.3fs past its client's", (e.Sent+e.Budget-v.asked.Until).Seconds()),
			append(w.story(v), e)...)
	}
	for _, o := range v.trips {
		if v.asked.Effect == Stamped && !(o.ended != nil && o.ended.Word == Unrun) && e.Sent > o.came.Sent+w.terms.Window+w.terms.Slack {
			w.breach(2, e.At, e.Visit, "a stamped visit again after its window", append(w.story(v), e)...)
		}
	}
	v.trips = append(v.trips, t)
	w.mayRun(v, 1)
}

// mayRun: rule 2 for a one-shot visit.
func (w *Watch) mayRun(v *visit, more int) {
	v.mayRun += more
	if more < 0 || v.asked.Effect != OneShot {
		return
	}
	if v.mayRun > 1 {
		w.breach(2, v.trips[len(v.trips)-1].came.At, v.asked.Visit, "a one-shot visit again, and the trip before may have run", w.story(v)...)
	}
	w.promise(v)
}

// ended: rules 2 and 5 for one trip.
func (w *Watch) ended(e Event) {
	t := w.trips[e.Trip]
	if t == nil || t.ended != nil {
		return
	}
	t.ended = &e
	v := t.v
	if e.Word == Unrun {
		w.mayRun(v, -1)
	}
	if !w.terms.Parallel {
		for _, o := range v.trips { // out is one from when it came whole until its end was written, or its giving up
			if o != t && o.ended != nil && max(o.came.At, t.came.At) < min(o.ended.Sent, e.Sent) {
				w.breach(2, e.At, v.asked.Visit, "two trips out at a time", w.story(v)...)
			}
		}
	}
	if e.Word != Delivered || e.Made == 0 {
		return
	}
	for i := len(w.news) - 1; i >= 0; i-- {
		p := &w.news[i]
		if p.What != Purged || p.Made <= e.Made || p.Whole && p.Group != v.asked.Group || !p.Whole && p.Object != v.asked.Object {
			continue
		}
		if at, ok := w.told(t.came.Router, p.No); ok && t.came.Sent > at+w.terms.Obey+w.terms.Slack {
			w.breach(5, e.At, v.asked.Visit, fmt.Sprintf("a copy from before a purge, %.3fs after that was told",
				(t.came.Sent-at).Seconds()), *p, v.asked, t.came, e)
			return
		}
	}
}

// ran: rule 2, no effect twice.
func (w *Watch) ran(e Event) {
	w.counts.Runs++
	v := w.visits[e.Visit]
	if v == nil {
		return
	}
	if v.ran = append(v.ran, e); len(v.ran) > 1 && v.asked.Effect == OneShot {
		w.breach(2, e.At, e.Visit, "its effect happened twice", append(w.story(v), v.ran...)...)
	}
}

// posted notes what the bulletin tells.
func (w *Watch) posted(e Event) {
	w.news = append(w.news, e)
	if e.What != Listed {
		return
	}
	m := w.machine(e.Machine)
	m.closed = 0
	if !e.Open {
		m.closed = e.No
	} else if m.cold && m.listed == 0 && e.Made == m.started { // not one of an earlier start that was told late
		m.listed = e.No
	}
}

// arrives: rule 4, no cold machine is pushed over.
func (w *Watch) arrives(e Event) {
	m := w.machine(e.Machine)
	c, has := w.terms.Cold[e.Machine]
	if !has || !m.cold || m.fell {
		return
	}
	age := e.At - m.started
	if age > c.Ramp {
		m.cold, m.came = false, nil
		return
	}
	at, ok := w.told(e.Router, m.listed)
	sent := e.At
	if e.Sent > 0 {
		sent = e.Sent
	}
	m.came = append(m.came, arrival{e.At, m.listed > 0 && ok && sent > at, e})
	n := 0
	for n < len(m.came) && m.came[n].at < e.At-c.Window {
		n++
	}
	m.came = m.came[n:]
	part := c.Least + (1-c.Least)*float64(age)/float64(c.Ramp)
	may := c.Multiple * part * c.Bears * c.Window.Seconds()
	if float64(len(m.came)) <= bears(may) {
		return
	}
	m.fell = true
	knew := 0
	for _, a := range m.came {
		if a.told {
			knew++
		}
	}
	if float64(knew) > twoThirds*float64(len(m.came)) {
		w.breach(4, e.At, e.Visit, fmt.Sprintf("machine %d, cold since %.3fs, got %d in its window of %.1f, %d of them from who knew", e.Machine,
			m.started.Seconds(), len(m.came), may, knew), m.story(w)...)
	}
}

const fewCalls = 30 // below it, chance has more room

// bears is how many calls a cold machine bears in its window where the settings allow it so many.
func bears(may float64) float64 {
	if may < fewCalls {
		return may + 3*math.Sqrt(may) + 3
	}
	return may + 2*math.Sqrt(may) + 2
}

// story is the start, how it was listed, and what came in the window.
func (m *machine) story(w *Watch) (all []Event) {
	if m.listed > 0 {
		all = append(all, w.news[m.listed-1])
	}
	for _, a := range m.came {
		all = append(all, a.e)
	}
	return all
}
