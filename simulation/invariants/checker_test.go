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

// testSettings returns settings with which only machine 2 is checked for overload.
func testSettings() Settings {
	return Settings{
		DrainGrace:          500 * ms,
		PurgeGrace:          500 * ms,
		Slack:               50 * ms,
		AbandonGrace:        100 * ms,
		DeadlineSlack:       150 * ms,
		LostAfter:           550 * ms,
		NotificationTimeout: 7 * s,
		ReconnectGrace:      3 * s,
		KeyWindow:           5 * s,
		SlowStart: map[MachineID]SlowStart{
			2: {InitialShare: 0.2, WarmUp: 10 * s, OverloadMultiple: 3, Window: s, Capacity: 10},
		},
	}
}

// requestSent returns a request to router 1, for object 7 of group 3 and with a deadline after two seconds.
func requestSent(at Micros, request RequestID, effect Effect) Event {
	return Event{
		At: at, Kind: RequestSent, Request: request, Router: 1, Effect: effect, Deadline: at + 2*s, Object: 7, Group: 3,
	}
}

// attemptReceived returns an attempt of router 1 that was sent one millisecond before its receipt.
func attemptReceived(at Micros, request RequestID, attempt AttemptID, machine, source MachineID) Event {
	return Event{
		At:      at,
		Kind:    AttemptReceived,
		Request: request,
		Router:  1,
		Attempt: attempt,
		Machine: machine,
		Source:  source,
		SentAt:  at - ms,
	}
}

// withTimeout returns an attempt with its timeout set.
func withTimeout(e Event, timeout Micros) Event {
	e.Timeout = timeout
	return e
}

// withLongDeadline returns a request with its deadline set to ten seconds after it was sent.
func withLongDeadline(e Event) Event {
	e.Deadline = e.At + 10*s
	return e
}

// attemptEnded returns the end of an attempt. createdAt is the time of the copy that it was answered from; 0: none.
func attemptEnded(at Micros, attempt AttemptID, outcome Outcome, createdAt Micros) Event {
	return Event{At: at, Kind: AttemptEnded, Attempt: attempt, Outcome: outcome, EffectiveAt: createdAt, SentAt: at}
}

// answerReceived returns an answer of router 1 that is sent at a time and received one millisecond later.
func answerReceived(at Micros, request RequestID, outcome Outcome) Event {
	return Event{At: at + ms, Kind: AnswerReceived, Request: request, Router: 1, Outcome: outcome, SentAt: at}
}

// check returns the violations in a run that lasts 100 seconds.
func check(events []Event) []Violation {
	c := New(testSettings())
	for _, e := range events {
		c.Observe(e)
	}
	c.Finish(100 * s)
	return c.Violations()
}

// burst returns the events of n requests within one second, each with a successful attempt at machine 2.
func burst(start Micros, n int) (events []Event) {
	for i := range n {
		at := start + Micros(i)*s/Micros(n)
		request, attempt := RequestID(1000+i), AttemptID(1000+i)
		events = append(
			events,
			requestSent(at, request, Idempotent),
			attemptReceived(at, request, attempt, 2, NoMachine),
			attemptEnded(at, attempt, Succeeded, 0),
			answerReceived(at, request, Succeeded),
		)
	}
	return events
}

// Each kind of violation must be reported under its rule, with its reason and the events that prove it. Similar runs
// that keep the rules, or that break one only because of a fault that excuses it, must pass.
func TestViolations(t *testing.T) {
	drain := Event{At: 10 * s, Kind: EndpointListed, Number: 1, Machine: 2}
	notified := Event{At: 10*s + 100*ms, Kind: Notified, Router: 1, Number: 1}
	purge := Event{At: 10 * s, Kind: Purged, Number: 1, Object: 7, EffectiveAt: 10 * s}
	cold := []Event{
		{At: 10 * s, Kind: MachineStarted, Machine: 2},
		{At: 10*s + 100*ms, Kind: EndpointListed, Number: 1, Machine: 2, Usable: true, EffectiveAt: 10 * s},
	}
	for _, c := range []struct {
		name   string
		rule   int    // that is violated; 0: none
		reason string // part of Violation.Reason
		events []Event
	}{
		{"no violation", 0, "", []Event{
			requestSent(s, 1, NonIdempotent), attemptReceived(s+2*ms, 1, 1, 2, 5),
			{At: s + 3*ms, Kind: Executed, Request: 1, Attempt: 1}, attemptEnded(s+9*ms, 1, Succeeded, 0),
			answerReceived(s+10*ms, 1, Succeeded),
		}},
		{"no answer", 1, "no answer", []Event{requestSent(s, 1, Idempotent)}},
		{"answered at the last moment", 0, "", []Event{
			requestSent(s, 1, Idempotent), answerReceived(3*s+49*ms, 1, Failed),
		}},
		{"answered late", 1, "late", []Event{requestSent(s, 1, Idempotent), answerReceived(3*s+51*ms, 1, Failed)}},
		{"answered twice", 1, "second", []Event{
			requestSent(s, 1, Idempotent), answerReceived(s+ms, 1, Succeeded), answerReceived(s+5*ms, 1, Rejected),
		}},
		{"answer to no request", 1, "answer to an unknown request", []Event{answerReceived(s, 1, Succeeded)}},
		{"connection dropped", 1, "ended without", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: ConnectionDropped, Request: 1},
		}},
		{"dropped as the router died", 0, "", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: RouterDied, Router: 1},
			{At: s + ms, Kind: ConnectionFault, Request: 1},
		}},
		{"client left", 0, "", []Event{requestSent(s, 1, Idempotent), {At: s + ms, Kind: ClientLeft, Request: 1}}},
		{"answered after the client left", 1, "had left", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: ClientLeft, Request: 1},
			answerReceived(s+99*ms, 1, Succeeded),
		}},
		{"attempt after the client left", 1, "began", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: ClientLeft, Request: 1},
			attemptReceived(s+153*ms, 1, 1, 2, NoMachine),
		}},
		{"retry after the client left", 1, "began", []Event{
			requestSent(s, 1, Idempotent), attemptReceived(s+2*ms, 1, 1, 2, NoMachine), attemptEnded(s+3*ms, 1, NotRun, 0),
			{At: s + 4*ms, Kind: ClientLeft, Request: 1}, attemptReceived(s+156*ms, 1, 2, 3, NoMachine),
		}},
		{"attempt within the grace after the client left", 0, "", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: ClientLeft, Request: 1},
			attemptReceived(s+151*ms, 1, 1, 2, NoMachine),
		}},
		{"deadline later than the client's", 1, "deadline", []Event{
			requestSent(s, 1, Idempotent), withTimeout(attemptReceived(s+300*ms, 1, 1, 2, NoMachine), 1860*ms),
			answerReceived(s+400*ms, 1, Succeeded),
		}},
		{"deadline of the client", 0, "", []Event{
			requestSent(s, 1, Idempotent), withTimeout(attemptReceived(s+300*ms, 1, 1, 2, NoMachine), 1850*ms),
			answerReceived(s+400*ms, 1, Succeeded),
		}},
		{"attempt after the client left, by a router that was paused", 1, "began", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: RouterPaused, Router: 1},
			{At: s + 2*ms, Kind: ClientLeft, Request: 1}, {At: s + 500*ms, Kind: RouterResumed, Router: 1},
			attemptReceived(s+502*ms, 1, 1, 2, NoMachine),
		}},
		{"attempt after the client left, by a router that was partitioned", 0, "", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: RouterPartitioned, Router: 1},
			{At: s + 2*ms, Kind: ClientLeft, Request: 1}, {At: s + 500*ms, Kind: RouterRejoined, Router: 1},
			attemptReceived(s+502*ms, 1, 1, 2, NoMachine),
		}},
		{"router paused", 0, "", []Event{requestSent(s, 1, Idempotent), {At: s + ms, Kind: RouterPaused, Router: 1}}},
		{"answered late after a pause", 0, "", []Event{
			requestSent(s, 1, Idempotent), {At: s + ms, Kind: RouterPaused, Router: 1},
			{At: 4 * s, Kind: RouterResumed, Router: 1}, answerReceived(4*s+ms, 1, Failed),
		}},
		{"attempt after the answer", 1, "after the final", []Event{
			requestSent(s, 1, Idempotent), answerReceived(s+ms, 1, Succeeded), attemptReceived(s+9*ms, 1, 1, 2, NoMachine),
		}},
		{"two attempts at a time", 2, "two attempts", []Event{
			requestSent(s, 1, Idempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			attemptReceived(s+9*ms, 1, 2, 3, NoMachine), attemptEnded(s+20*ms, 1, Succeeded, 0),
			answerReceived(s+21*ms, 1, Succeeded), attemptEnded(s+30*ms, 2, Unanswered, 0),
		}},
		{"two attempts at a time, the first one's end observed later", 2, "two attempts", []Event{
			requestSent(s, 1, Idempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			attemptReceived(s+21*ms, 1, 2, 3, NoMachine), attemptEnded(s+25*ms, 2, Succeeded, 0),
			answerReceived(s+29*ms, 1, Succeeded),
			{At: s + 40*ms, Kind: AttemptEnded, Attempt: 1, Outcome: Unanswered, SentAt: s + 30*ms},
		}},
		{"first attempt canceled before it is received", 0, "", []Event{
			requestSent(s, 1, Idempotent), attemptReceived(s+9*ms, 1, 2, 3, NoMachine),
			attemptReceived(s+9*ms, 1, 1, 2, NoMachine),
			{At: s + 10*ms, Kind: AttemptEnded, Attempt: 1, Outcome: Unanswered, SentAt: s + 8*ms},
			attemptEnded(s+20*ms, 2, Succeeded, 0), answerReceived(s+21*ms, 1, Succeeded),
		}},
		{"first attempt canceled before the second is received", 0, "", []Event{
			requestSent(s, 1, Idempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			attemptReceived(s+9*ms, 1, 2, 3, NoMachine),
			{At: s + 20*ms, Kind: AttemptEnded, Attempt: 1, Outcome: Unanswered, SentAt: s + 5*ms},
			answerReceived(s+21*ms, 1, Succeeded),
		}},
		{"non-idempotent request again", 2, "another attempt of a non-idempotent request", []Event{
			requestSent(s, 1, NonIdempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			attemptEnded(s+2*ms, 1, MayHaveRun, 0), attemptReceived(s+9*ms, 1, 2, 3, NoMachine),
			answerReceived(s+20*ms, 1, Failed),
		}},
		{"non-idempotent request again, proven not run", 0, "", []Event{
			requestSent(s, 1, NonIdempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine), attemptEnded(s+2*ms, 1, NotRun, 0),
			attemptReceived(s+9*ms, 1, 2, 3, NoMachine), attemptEnded(s+19*ms, 2, Succeeded, 0),
			answerReceived(s+20*ms, 1, Succeeded),
		}},
		{"rejected, and may have run", 2, "rejected", []Event{
			requestSent(s, 1, NonIdempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			attemptEnded(s+2*ms, 1, Unanswered, 0), answerReceived(s+20*ms, 1, Rejected),
		}},
		{"rejected, and runs later", 2, "rejected", []Event{
			requestSent(s, 1, NonIdempotent), answerReceived(s+20*ms, 1, Rejected),
			{
				At: s + 30*ms, Kind: AttemptReceived, Request: 1, Router: 1, Attempt: 1, Machine: 2, Source: NoMachine,
				SentAt: s + ms,
			},
		}},
		{"effect twice", 2, "twice", []Event{
			requestSent(s, 1, NonIdempotent), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			{At: s + 2*ms, Kind: Executed, Request: 1, Attempt: 1}, {At: s + 3*ms, Kind: Executed, Request: 1, Attempt: 1},
			attemptEnded(s+4*ms, 1, Succeeded, 0), answerReceived(s+20*ms, 1, Succeeded),
		}},
		{"keyed request after its window", 2, "window", []Event{
			withLongDeadline(requestSent(s, 1, Keyed)), attemptReceived(s+ms, 1, 1, 2, NoMachine),
			attemptEnded(s+2*ms, 1, Unanswered, 0), attemptReceived(7*s, 1, 2, 3, NoMachine),
			answerReceived(8*s, 1, Failed),
		}},
		{"attempt at a draining machine", 3, "drains", []Event{
			drain, notified, requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 2, NoMachine),
			answerReceived(11*s, 1, Succeeded),
		}},
		{"draining source", 3, "source", []Event{
			drain, notified, requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 3, 2),
			answerReceived(11*s, 1, Succeeded),
		}},
		{"attempt at a draining machine within the grace", 0, "", []Event{
			drain, notified, requestSent(10*s+640*ms, 1, Idempotent), attemptReceived(10*s+640*ms, 1, 1, 2, NoMachine),
			answerReceived(11*s, 1, Succeeded),
		}},
		{"attempt at a draining machine, not notified yet", 0, "", []Event{
			drain, requestSent(17*s+500*ms, 1, Idempotent), attemptReceived(17*s+500*ms, 1, 1, 2, NoMachine),
			answerReceived(17*s+600*ms, 1, Succeeded),
		}},
		{"never notified", 3, "drains", []Event{
			drain, requestSent(18*s, 1, Idempotent), attemptReceived(18*s, 1, 1, 2, NoMachine),
			answerReceived(18*s, 1, Succeeded),
		}},
		{"never notified, discovery was down", 0, "", []Event{
			drain, {At: 10*s + ms, Kind: DiscoveryDown}, {At: 17 * s, Kind: DiscoveryUp}, requestSent(18*s, 1, Idempotent),
			attemptReceived(18*s, 1, 1, 2, NoMachine), answerReceived(18*s, 1, Succeeded),
		}},
		{"never notified, discovery was up again long ago", 3, "drains", []Event{
			drain, {At: 10*s + ms, Kind: DiscoveryDown}, {At: 14 * s, Kind: DiscoveryUp}, requestSent(18*s, 1, Idempotent),
			attemptReceived(18*s, 1, 1, 2, NoMachine), answerReceived(18*s, 1, Succeeded),
		}},
		{"router died while paused", 0, "", []Event{
			{At: s, Kind: RouterPaused, Router: 1}, {At: 2 * s, Kind: RouterDied, Router: 1}, requestSent(3*s, 1, Idempotent),
		}},
		{"machine usable again after a drain", 0, "", []Event{
			drain, notified, {At: 10*s + 500*ms, Kind: EndpointListed, Number: 2, Machine: 2, Usable: true},
			requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 2, NoMachine), answerReceived(11*s, 1, Succeeded),
		}},
		{"cold machine overloaded", 4, "cold", append(
			append(append([]Event(nil), cold...), notified), burst(10*s+200*ms, 40)...,
		)},
		{"cold machine overloaded, notified of an earlier start", 0, "", append(
			[]Event{
				cold[0],
				{At: 10*s + 100*ms, Kind: EndpointListed, Number: 1, Machine: 2, Usable: true, EffectiveAt: 5 * s},
				notified,
			},
			burst(10*s+200*ms, 40)...,
		)},
		{"cold machine, load within its tolerance", 0, "", append(
			append(append([]Event(nil), cold...), notified), burst(10*s+200*ms, 16)...,
		)},
		{"cold machine overloaded, nobody was notified", 0, "", append([]Event{cold[0]}, burst(10*s+200*ms, 40)...)},
		{"machine warm again", 0, "", append(append(append([]Event(nil), cold...), notified), burst(21*s, 40)...)},
		{"copy from before a purge", 5, "purge", []Event{
			purge, notified, requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 2, NoMachine),
			attemptEnded(11*s+ms, 1, Succeeded, 9*s), answerReceived(11*s+2*ms, 1, Succeeded),
		}},
		{"copy from after the purge", 0, "", []Event{
			purge, notified, requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 2, NoMachine),
			attemptEnded(11*s+ms, 1, Succeeded, 10*s+ms), answerReceived(11*s+2*ms, 1, Succeeded),
		}},
		{"attempt within the purge's grace", 0, "", []Event{
			purge, notified, requestSent(10*s, 1, Idempotent), attemptReceived(10*s+600*ms, 1, 1, 2, NoMachine),
			attemptEnded(11*s+ms, 1, Succeeded, 9*s), answerReceived(11*s+2*ms, 1, Succeeded),
		}},
		{"copy from before a group's purge", 5, "purge", []Event{
			{At: 10 * s, Kind: Purged, Number: 1, WholeGroup: true, Group: 3, EffectiveAt: 10 * s}, notified,
			requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 2, NoMachine),
			attemptEnded(11*s+ms, 1, Succeeded, 9*s), answerReceived(11*s+2*ms, 1, Succeeded),
		}},
		{"another group's purge", 0, "", []Event{
			{At: 10 * s, Kind: Purged, Number: 1, WholeGroup: true, Group: 4, EffectiveAt: 10 * s}, notified,
			requestSent(11*s, 1, Idempotent), attemptReceived(11*s, 1, 1, 2, NoMachine),
			attemptEnded(11*s+ms, 1, Succeeded, 9*s), answerReceived(11*s+2*ms, 1, Succeeded),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := check(c.events)
			switch {
			case c.rule == 0 && len(got) > 0:
				t.Errorf("reported %v, want no violation", got)
			case c.rule > 0 && len(got) == 0:
				t.Errorf("no violation reported, want one of rule %d", c.rule)
			case c.rule > 0 && (got[0].Rule != c.rule || !strings.Contains(got[0].Reason, c.reason) ||
				len(got[0].Events) == 0 || got[0].At == 0):
				t.Errorf("reported %v, want rule %d, a reason with %q, the time and events", got, c.rule, c.reason)
			}
		})
	}
}
