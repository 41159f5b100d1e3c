package invariants

import (
	"strings"
	"testing"

	"threadrun/internal/clock"
)

const (
	ms = clock.Millisecond
	s  = clock.Second
)

func terms() Terms {
	return Terms{Grace: 500 * ms, Obey: 500 * ms, Slack: 50 * ms, Begin: 100 * ms, Spare: 150 * ms, Lost: 550 * ms, Late: 7 * s, Back: 3 * s, Window: 5 * s,
		Cold: map[Machine]Cold{2: {Least: 0.2, Ramp: 10 * s, Multiple: 3, Window: s, Bears: 10}}}
}

func asked(at Micros, v Visit, e Effect) Event {
	return Event{At: at, What: Asked, Visit: v, Router: 1, Effect: e, Until: at + 2*s, Object: 7, Group: 3}
}

func came(at Micros, v Visit, t Trip, m, source Machine) Event {
	return Event{At: at, What: Came, Visit: v, Router: 1, Trip: t, Machine: m, Source: source, Sent: at - ms}
}

// within is an attempt that passes a deadline on.
func within(e Event, budget Micros) Event {
	e.Budget = budget
	return e
}

// patient is a request whose client waits longer than most.
func patient(e Event) Event {
	e.Until = e.At + 10*s
	return e
}

func ended(at Micros, t Trip, w Word, made Micros) Event {
	return Event{At: at, What: Ended, Trip: t, Word: w, Made: made, Sent: at}
}

func answered(at Micros, v Visit, w Word) Event {
	return Event{At: at + ms, What: Answered, Visit: v, Router: 1, Word: w, Sent: at}
}

func watch(events []Event) []Breach {
	w := New(terms())
	for _, e := range events {
		w.Take(e)
	}
	w.Finish(100 * s)
	return w.Breaches()
}

// crowd is so many trips within a second to a machine.
func crowd(from Micros, n int, m Machine) (all []Event) {
	for i := range n {
		at := from + Micros(i)*s/Micros(n)
		v, t := Visit(1000+i), Trip(1000+i)
		all = append(all, asked(at, v, Harmless), came(at, v, t, m, None), ended(at, t, Delivered, 0), answered(at, v, Delivered))
	}
	return all
}

// One breach of each kind is planted, and found as what it is; the same without the breach is clean.
func TestEachBreachIsFound(t *testing.T) {
	drain := Event{At: 10 * s, What: Listed, No: 1, Machine: 2}
	told := Event{At: 10*s + 100*ms, What: Told, Router: 1, No: 1}
	purge := Event{At: 10 * s, What: Purged, No: 1, Object: 7, Made: 10 * s}
	cold := []Event{{At: 10 * s, What: Started, Machine: 2}, {At: 10*s + 100*ms, What: Listed, No: 1, Machine: 2, Open: true, Made: 10 * s}}
	for _, c := range []struct {
		name   string
		rule   int
		why    string
		events []Event
	}{
		{"all is well", 0, "", []Event{asked(s, 1, OneShot), came(s+2*ms, 1, 1, 2, 5), {At: s + 3*ms, What: Ran, Visit: 1, Trip: 1},
			ended(s+9*ms, 1, Delivered, 0), answered(s+10*ms, 1, Delivered)}},
		{"no answer", 1, "no answer", []Event{asked(s, 1, Harmless)}},
		{"an answer in the last moment", 0, "", []Event{asked(s, 1, Harmless), answered(3*s+49*ms, 1, Scrapped)}},
		{"late", 1, "late", []Event{asked(s, 1, Harmless), answered(3*s+51*ms, 1, Scrapped)}},
		{"twice", 1, "second", []Event{asked(s, 1, Harmless), answered(s+ms, 1, Delivered), answered(s+5*ms, 1, Deferred)}},
		{"never asked", 1, "nothing asked", []Event{answered(s, 1, Delivered)}},
		{"dropped", 1, "ended without", []Event{asked(s, 1, Harmless), {At: s + ms, What: Dropped, Visit: 1}}},
		{"dropped by its death", 0, "", []Event{asked(s, 1, Harmless), {At: s + ms, What: Died, Router: 1}, {At: s + ms, What: Excused, Visit: 1}}},
		{"left", 0, "", []Event{asked(s, 1, Harmless), {At: s + ms, What: Left, Visit: 1}}},
		{"answered though left", 1, "had left", []Event{asked(s, 1, Harmless), {At: s + ms, What: Left, Visit: 1}, answered(s+99*ms, 1, Delivered)}},
		{"an attempt though left", 1, "began", []Event{asked(s, 1, Harmless), {At: s + ms, What: Left, Visit: 1}, came(s+153*ms, 1, 1, 2, None)}},
		{"a further one though left", 1, "began", []Event{asked(s, 1, Harmless), came(s+2*ms, 1, 1, 2, None), ended(s+3*ms, 1, Unrun, 0),
			{At: s + 4*ms, What: Left, Visit: 1}, came(s+156*ms, 1, 2, 3, None)}},
		{"it crossed the leaving", 0, "", []Event{asked(s, 1, Harmless), {At: s + ms, What: Left, Visit: 1}, came(s+151*ms, 1, 1, 2, None)}},
		{"a deadline beyond the client's", 1, "deadline", []Event{asked(s, 1, Harmless), within(came(s+300*ms, 1, 1, 2, None), 1860*ms),
			answered(s+400*ms, 1, Delivered)}},
		{"a deadline that is the client's", 0, "", []Event{asked(s, 1, Harmless), within(came(s+300*ms, 1, 1, 2, None), 1850*ms),
			answered(s+400*ms, 1, Delivered)}},
		{"an attempt though left, by one that had no turn", 1, "began", []Event{asked(s, 1, Harmless), {At: s + ms, What: Halted, Router: 1},
			{At: s + 2*ms, What: Left, Visit: 1}, {At: s + 500*ms, What: Resumed, Router: 1}, came(s+502*ms, 1, 1, 2, None)}},
		{"an attempt though left, by one out of reach", 0, "", []Event{asked(s, 1, Harmless), {At: s + ms, What: Parted, Router: 1},
			{At: s + 2*ms, What: Left, Visit: 1}, {At: s + 500*ms, What: Rejoined, Router: 1}, came(s+502*ms, 1, 1, 2, None)}},
		{"no turn", 0, "", []Event{asked(s, 1, Harmless), {At: s + ms, What: Halted, Router: 1}}},
		{"late after no turn", 0, "", []Event{asked(s, 1, Harmless), {At: s + ms, What: Halted, Router: 1}, {At: 4 * s, What: Resumed, Router: 1},
			answered(4*s+ms, 1, Scrapped)}},
		{"a trip afterwards", 1, "after the final", []Event{asked(s, 1, Harmless), answered(s+ms, 1, Delivered), came(s+9*ms, 1, 1, 2, None)}},
		{"two trips out", 2, "two trips", []Event{asked(s, 1, Harmless), came(s+ms, 1, 1, 2, None), came(s+9*ms, 1, 2, 3, None), ended(s+20*ms, 1, Delivered, 0),
			answered(s+21*ms, 1, Delivered), ended(s+30*ms, 2, Silent, 0)}},
		{"two trips, known later", 2, "two trips", []Event{asked(s, 1, Harmless), came(s+ms, 1, 1, 2, None), came(s+21*ms, 1, 2, 3, None),
			ended(s+25*ms, 2, Delivered, 0), answered(s+29*ms, 1, Delivered), {At: s + 40*ms, What: Ended, Trip: 1, Word: Silent, Sent: s + 30*ms}}},
		{"came when it was given up already", 0, "", []Event{asked(s, 1, Harmless), came(s+9*ms, 1, 2, 3, None), came(s+9*ms, 1, 1, 2, None),
			{At: s + 10*ms, What: Ended, Trip: 1, Word: Silent, Sent: s + 8*ms}, ended(s+20*ms, 2, Delivered, 0), answered(s+21*ms, 1, Delivered)}},
		{"given up before", 0, "", []Event{asked(s, 1, Harmless), came(s+ms, 1, 1, 2, None), came(s+9*ms, 1, 2, 3, None),
			{At: s + 20*ms, What: Ended, Trip: 1, Word: Silent, Sent: s + 5*ms}, answered(s+21*ms, 1, Delivered)}},
		{"one-shot again", 2, "one-shot visit again", []Event{asked(s, 1, OneShot), came(s+ms, 1, 1, 2, None), ended(s+2*ms, 1, Failed, 0),
			came(s+9*ms, 1, 2, 3, None), answered(s+20*ms, 1, Scrapped)}},
		{"one-shot again, proven unrun", 0, "", []Event{asked(s, 1, OneShot), came(s+ms, 1, 1, 2, None), ended(s+2*ms, 1, Unrun, 0),
			came(s+9*ms, 1, 2, 3, None), ended(s+19*ms, 2, Delivered, 0), answered(s+20*ms, 1, Delivered)}},
		{"a promise that does not hold", 2, "deferred", []Event{asked(s, 1, OneShot), came(s+ms, 1, 1, 2, None), ended(s+2*ms, 1, Silent, 0),
			answered(s+20*ms, 1, Deferred)}},
		{"a promise that is broken later", 2, "deferred", []Event{asked(s, 1, OneShot), answered(s+20*ms, 1, Deferred),
			{At: s + 30*ms, What: Came, Visit: 1, Router: 1, Trip: 1, Machine: 2, Source: None, Sent: s + ms}}},
		{"an effect twice", 2, "twice", []Event{asked(s, 1, OneShot), came(s+ms, 1, 1, 2, None), {At: s + 2*ms, What: Ran, Visit: 1, Trip: 1},
			{At: s + 3*ms, What: Ran, Visit: 1, Trip: 1}, ended(s+4*ms, 1, Delivered, 0), answered(s+20*ms, 1, Delivered)}},
		{"stamped, too late", 2, "window", []Event{patient(asked(s, 1, Stamped)), came(s+ms, 1, 1, 2, None), ended(s+2*ms, 1, Silent, 0),
			came(7*s, 1, 2, 3, None), answered(8*s, 1, Scrapped)}},
		{"a drain", 3, "drains", []Event{drain, told, asked(11*s, 1, Harmless), came(11*s, 1, 1, 2, None), answered(11*s, 1, Delivered)}},
		{"a source that drains", 3, "source", []Event{drain, told, asked(11*s, 1, Harmless), came(11*s, 1, 1, 3, 2), answered(11*s, 1, Delivered)}},
		{"within the grace", 0, "", []Event{drain, told, asked(10*s+640*ms, 1, Harmless), came(10*s+640*ms, 1, 1, 2, None), answered(11*s, 1, Delivered)}},
		{"not told yet", 0, "", []Event{drain, asked(17*s+500*ms, 1, Harmless), came(17*s+500*ms, 1, 1, 2, None), answered(17*s+600*ms, 1, Delivered)}},
		{"never told", 3, "drains", []Event{drain, asked(18*s, 1, Harmless), came(18*s, 1, 1, 2, None), answered(18*s, 1, Delivered)}},
		{"never told, the bulletin was out of reach", 0, "", []Event{drain, {At: 10*s + ms, What: Muted}, {At: 17 * s, What: Spoke}, asked(18*s, 1, Harmless),
			came(18*s, 1, 1, 2, None), answered(18*s, 1, Delivered)}},
		{"never told, the bulletin was back long ago", 3, "drains", []Event{drain, {At: 10*s + ms, What: Muted}, {At: 14 * s, What: Spoke}, asked(18*s, 1, Harmless),
			came(18*s, 1, 1, 2, None), answered(18*s, 1, Delivered)}},
		{"dead and out of reach", 0, "", []Event{{At: s, What: Halted, Router: 1}, {At: 2 * s, What: Died, Router: 1}, asked(3*s, 1, Harmless)}},
		{"open again", 0, "", []Event{drain, told, {At: 10*s + 500*ms, What: Listed, No: 2, Machine: 2, Open: true}, asked(11*s, 1, Harmless),
			came(11*s, 1, 1, 2, None), answered(11*s, 1, Delivered)}},
		{"a cold machine", 4, "cold", append(append(append([]Event(nil), cold...), told), crowd(10*s+200*ms, 40, 2)...)},
		{"a cold machine, told of an earlier start", 0, "", append([]Event{cold[0], {At: 10*s + 100*ms, What: Listed, No: 1, Machine: 2, Open: true, Made: 5 * s}, told},
			crowd(10*s+200*ms, 40, 2)...)},
		{"as much as it bears", 0, "", append(append(append([]Event(nil), cold...), told), crowd(10*s+200*ms, 16, 2)...)},
		{"a cold machine, nobody knew", 0, "", append([]Event{cold[0]}, crowd(10*s+200*ms, 40, 2)...)},
		{"warm by then", 0, "", append(append(append([]Event(nil), cold...), told), crowd(21*s, 40, 2)...)},
		{"a purged copy", 5, "purge", []Event{purge, told, asked(11*s, 1, Harmless), came(11*s, 1, 1, 2, None), ended(11*s+ms, 1, Delivered, 9*s),
			answered(11*s+2*ms, 1, Delivered)}},
		{"a copy made since", 0, "", []Event{purge, told, asked(11*s, 1, Harmless), came(11*s, 1, 1, 2, None), ended(11*s+ms, 1, Delivered, 10*s+ms),
			answered(11*s+2*ms, 1, Delivered)}},
		{"sent before the grace was over", 0, "", []Event{purge, told, asked(10*s, 1, Harmless), came(10*s+600*ms, 1, 1, 2, None), ended(11*s+ms, 1, Delivered, 9*s),
			answered(11*s+2*ms, 1, Delivered)}},
		{"a purged group", 5, "purge", []Event{{At: 10 * s, What: Purged, No: 1, Whole: true, Group: 3, Made: 10 * s}, told, asked(11*s, 1, Harmless),
			came(11*s, 1, 1, 2, None), ended(11*s+ms, 1, Delivered, 9*s), answered(11*s+2*ms, 1, Delivered)}},
		{"another group", 0, "", []Event{{At: 10 * s, What: Purged, No: 1, Whole: true, Group: 4, Made: 10 * s}, told, asked(11*s, 1, Harmless),
			came(11*s, 1, 1, 2, None), ended(11*s+ms, 1, Delivered, 9*s), answered(11*s+2*ms, 1, Delivered)}},
	} {
		got := watch(c.events)
		switch {
		case c.rule == 0 && len(got) > 0:
			t.Errorf("%s: %v", c.name, got)
		case c.rule > 0 && len(got) == 0:
			t.Errorf("%s: not found", c.name)
		case c.rule > 0 && (got[0].Rule != c.rule || !strings.Contains(got[0].Why, c.why) || len(got[0].Events) == 0 || got[0].At == 0):
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
