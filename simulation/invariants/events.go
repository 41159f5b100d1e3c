package invariants

import (
	"fmt"
	"strings"

	"threadrun/internal/clock"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

type (
	// RequestID identifies one request of one client; 0: none.
	RequestID uint64
	// RouterID identifies a router across its restarts.
	RouterID int
	// MachineID identifies a cache, a parent or the origin across its restarts.
	MachineID int
	// AttemptID identifies one attempt that a machine has received.
	AttemptID uint64
)

// NoMachine is the MachineID of no machine.
const NoMachine MachineID = -1

// Effect is what happens when a request runs twice.
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
	Unanswered Outcome = iota // canceled, or its connection ended
	Succeeded                 // answered with a copy, or having run
	Rejected                  // of a request: a retry is safe
	Failed                    // of a request
	NotRun                    // of an attempt: its answer proves that it did not run
	MayHaveRun                // of an attempt
)

var outcomeNames = [...]string{"unanswered", "succeeded", "rejected", "failed", "not run", "may have run"}

func (o Outcome) String() string { return outcomeNames[o] }

// EventKind is a kind of event. The comment of each kind lists the fields of Event that it uses, in addition to At.
type EventKind uint8

// The kinds of events.
const (
	// RequestSent: a client has written a request. Request, Router, Effect, Deadline, Object, Group.
	RequestSent EventKind = iota
	// ResponseReceived: a client has received the complete answer. Request, Router, Outcome, SentAt.
	ResponseReceived
	// ClientLeft: the client stopped waiting. Request.
	ClientLeft
	// ConnectionFault: the client's connection was ended by an injected fault. Request.
	ConnectionFault
	// ConnectionDropped: the router ended the client's connection. Request.
	ConnectionDropped
	// AttemptReceived: a machine has received a complete attempt. Request, Router, Machine, Source, Attempt, SentAt (of
	// its first byte), Timeout (the deadline passed on, as a span).
	AttemptReceived
	// AttemptEnded: a machine wrote the answer, or the router canceled the attempt, at SentAt. Attempt, Outcome,
	// EffectiveAt (when the copy was generated; 0: no copy).
	AttemptEnded
	// Executed: the attempt had its effect. Request, Attempt, Machine.
	Executed
	// FillReceived: a machine has received a fill. Machine, Router (whose attempt it is for).
	FillReceived
	// EndpointListed: discovery announces a machine. Number, Machine, Usable, EffectiveAt (its start, if announced later).
	EndpointListed
	// Purged: discovery announces a purge. Number, Object or, with WholeGroup, Group, EffectiveAt (when it was issued).
	Purged
	// Notified: a router has discovery's events up to Number. Router.
	Notified
	// MachineStarted: a machine has started cold. Machine.
	MachineStarted
	// RouterDied: a router's process has ended. Router.
	RouterDied
	// RouterPaused: a router's process is suspended. Router.
	RouterPaused
	// RouterResumed: a router's process continues. Router.
	RouterResumed
	// DiscoveryDown: no router can reach discovery.
	DiscoveryDown
	// DiscoveryUp: routers can reach discovery again.
	DiscoveryUp
	// RouterPartitioned: a router is off the network; it will receive late what is sent to it. Router.
	RouterPartitioned
	// RouterRejoined: a router is on the network again. Router.
	RouterRejoined
)

var eventNames = [...]string{
	"request sent", "response received", "client left", "connection fault", "connection dropped", "attempt received",
	"attempt ended", "executed", "fill received", "endpoint listed", "purged", "notified", "machine started",
	"router died", "router paused", "router resumed", "discovery down", "discovery up", "router partitioned",
	"router rejoined",
}

func (k EventKind) String() string { return eventNames[k] }

// Event is something that happened at a time. Which other fields are set depends on its kind.
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
	Number      int // of the notice of discovery; the first is 1
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

// details formats the fields that the event's kind uses.
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
	Request RequestID // 0: none
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
