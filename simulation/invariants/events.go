package invariants

import (
	"fmt"
	"strings"

	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

type (
	// RequestID names one request of one client; 0 is none.
	RequestID uint64
	// RouterID names a router, through all its restarts.
	RouterID int
	// MachineID names a cache, a parent or the origin, through all its restarts.
	MachineID int
	// AttemptID names one attempt that has come to a machine.
	AttemptID uint64
)

// NoMachine stands where no machine is meant.
const NoMachine MachineID = -1

// Effect says what it means that a request runs twice.
type Effect uint8

// The effects.
const (
	Idempotent Effect = iota
	Keyed
	NonIdempotent
)

// Outcome is the end of a request or an attempt.
type Outcome uint8

// The outcomes.
const (
	Unanswered Outcome = iota // given up, or its connection ended
	Succeeded                 // answered with a copy, or having run
	Rejected                  // of a request: trying again is safe
	Failed                    // of a request
	NotRun                    // of an attempt: its answer proves that it did not run
	MayHaveRun                // of an attempt
)

var outcomeNames = [...]string{"unanswered", "succeeded", "rejected", "failed", "not run", "may have run"}

func (o Outcome) String() string { return outcomeNames[o] }

// EventKind is a kind of event. Each names the fields of Event that count beside At.
type EventKind uint8

// The kinds of events.
const (
	// RequestSent: a client's whole request was written. Request, Router, Effect, Deadline, Object, Group.
	RequestSent EventKind = iota
	// ResponseReceived: its answer came whole. Request, Router, Outcome, SentAt.
	ResponseReceived
	// ClientLeft: the client stopped waiting. Request.
	ClientLeft
	// ConnectionFault: the client's connection ended by a fault that is not the router's. Request.
	ConnectionFault
	// ConnectionDropped: the router ended the client's connection. Request.
	ConnectionDropped
	// AttemptReceived: an attempt came whole. Request, Router, Machine, Source, Attempt, SentAt (its first byte), Timeout
	// (the deadline passed on, as a span).
	AttemptReceived
	// AttemptEnded: its answer was written, or it was given up, at SentAt. Attempt, Outcome, EffectiveAt (when the copy
	// was made; 0: no copy).
	AttemptEnded
	// Executed: the attempt had its effect. Request, Attempt, Machine.
	Executed
	// FillReceived: a fill came to a machine. Machine, Router that it is for.
	FillReceived
	// EndpointListed: discovery announces a machine. Number, Machine, Usable, EffectiveAt (its start, if announced later).
	EndpointListed
	// Purged: discovery announces a purge. Number, Object or, with WholeGroup, Group, EffectiveAt (when it was issued).
	Purged
	// Notified: a router has discovery's events up to Number. Router.
	Notified
	// MachineStarted: a machine has begun to run, cold. Machine.
	MachineStarted
	// RouterDied: its process ended. Router.
	RouterDied
	// RouterPaused: it gets no processor time. Router.
	RouterPaused
	// RouterResumed: it does again. Router.
	RouterResumed
	// DiscoveryDown: no router can reach discovery.
	DiscoveryDown
	// DiscoveryUp: all can again.
	DiscoveryUp
	// RouterPartitioned: its network is gone; what was written to it comes late, and it can't know. Router.
	RouterPartitioned
	// RouterRejoined: its network is back. Router.
	RouterRejoined
)

var eventNames = [...]string{
	"request sent", "response received", "client left", "connection fault", "connection dropped", "attempt received",
	"attempt ended", "executed", "fill received", "endpoint listed", "purged", "notified", "machine started",
	"router died", "router paused", "router resumed", "discovery down", "discovery up", "router partitioned",
	"router rejoined",
}

func (k EventKind) String() string { return eventNames[k] }

// Event is one thing that happened, at At; the other fields count where its kind says so.
type Event struct {
	At          Micros
	Kind        EventKind
	Request     RequestID
	Router      RouterID
	Machine     MachineID
	Source      MachineID // where the attempt may be filled from
	Attempt     AttemptID
	Effect      Effect
	Outcome     Outcome
	Deadline    Micros
	Timeout     Micros
	SentAt      Micros
	EffectiveAt Micros
	Object      uint64
	Group       int
	Number      int // discovery's, from 1
	Usable      bool
	WholeGroup  bool
}

func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3fs %s", e.At.Seconds(), e.Kind)
	if e.Request != 0 {
		fmt.Fprintf(&b, " request %016x", uint64(e.Request))
	}
	b.WriteString(e.details())
	return b.String()
}

// details words the fields that count for the event's kind.
func (e Event) details() string {
	switch e.Kind {
	case RequestSent:
		return fmt.Sprintf(" router %d deadline %.3fs", e.Router, e.Deadline.Seconds())
	case ResponseReceived:
		return fmt.Sprintf(" router %d %s, sent %.3fs", e.Router, e.Outcome, e.SentAt.Seconds())
	case AttemptReceived:
		return fmt.Sprintf(" attempt %d router %d machine %d source %d, sent %.3fs",
			e.Attempt, e.Router, e.Machine, e.Source, e.SentAt.Seconds())
	case AttemptEnded:
		if e.EffectiveAt > 0 {
			return fmt.Sprintf(" attempt %d %s at %.3fs, copy of %.3fs",
				e.Attempt, e.Outcome, e.SentAt.Seconds(), e.EffectiveAt.Seconds())
		}
		return fmt.Sprintf(" attempt %d %s at %.3fs", e.Attempt, e.Outcome, e.SentAt.Seconds())
	case Executed:
		return fmt.Sprintf(" attempt %d machine %d", e.Attempt, e.Machine)
	case EndpointListed:
		return fmt.Sprintf(" number %d machine %d usable %v", e.Number, e.Machine, e.Usable)
	case Purged:
		return fmt.Sprintf(" number %d issued %.3fs", e.Number, e.EffectiveAt.Seconds())
	case Notified:
		return fmt.Sprintf(" router %d number %d", e.Router, e.Number)
	case FillReceived, MachineStarted:
		return fmt.Sprintf(" machine %d", e.Machine)
	case RouterDied, RouterPaused, RouterResumed, RouterPartitioned, RouterRejoined:
		return fmt.Sprintf(" router %d", e.Router)
	default:
		return ""
	}
}

// Violation is a rule that was broken.
type Violation struct {
	Rule    int // 1 to 5
	At      Micros
	Request RequestID // 0: of none
	Reason  string
	Events  []Event // that prove it
}

func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "rule %d at %.3fs: %s", v.Rule, v.At.Seconds(), v.Reason)
	for _, e := range v.Events {
		b.WriteString("\n  " + e.String())
	}
	return b.String()
}
