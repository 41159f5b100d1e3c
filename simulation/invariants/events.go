package invariants

import (
	"fmt"
	"strings"

	"threadrun/internal/clock"
)

// Micros is a time or a duration in whole microseconds.
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

// Effect tells whether a request may run more than once.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // running it again has no further effect
	Keyed                       // a machine recognizes a repeat by its key for a limited time
	NonIdempotent               // each run has an effect
)

// Outcome is how a request or an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Unanswered Outcome = iota // it was canceled, or its connection ended
	Succeeded                 // the answer contains a copy, or confirms that the request has run
	Rejected                  // of a request: the client may safely retry it
	Failed                    // of a request
	NotRun                    // of an attempt: its answer proves that it did not run
	MayHaveRun                // of an attempt: its answer does not prove that it did not run
)

var outcomeNames = [...]string{"unanswered", "succeeded", "rejected", "failed", "not run", "may have run"}

// String returns the name of an outcome in reports of violations.
func (o Outcome) String() string { return outcomeNames[o] }

// EventKind is a kind of event. The comment of each kind names the fields of Event that are set in addition to At.
type EventKind uint8

// The kinds of events.
const (
	// RequestSent: a client has written a request. Request, Router, Effect, Deadline, Object, Group.
	RequestSent EventKind = iota
	// AnswerReceived: a client has received the complete answer. Request, Router, Outcome, SentAt (of its last byte).
	AnswerReceived
	// ClientLeft: the client stopped waiting. Request.
	ClientLeft
	// ConnectionFault: the client's connection was ended by an injected fault. Request.
	ConnectionFault
	// ConnectionDropped: the router ended the client's connection. Request.
	ConnectionDropped
	// AttemptReceived: a machine has received a complete attempt. Request, Router, Machine, Source, Attempt, SentAt (of
	// its first byte), Timeout (the deadline passed on, as a duration).
	AttemptReceived
	// AttemptEnded: a machine wrote the answer, or the router canceled the attempt, at SentAt. Attempt, Outcome,
	// EffectiveAt (when the copy was created; 0: no copy).
	AttemptEnded
	// Executed: an attempt had its effect. Request, Attempt, Machine.
	Executed
	// FillReceived: a machine has received the request for a fill. Machine, Router (whose attempt caused the fill).
	FillReceived
	// EndpointListed: discovery announces the state of a machine. Number, Machine, Usable, EffectiveAt (when the machine
	// started, which may be before At).
	EndpointListed
	// Purged: discovery announces a purge. Number, Object or, with WholeGroup, Group, EffectiveAt (when it was issued).
	Purged
	// Notified: a router has received the notices of discovery up to a number. Router, Number.
	Notified
	// MachineStarted: a machine has started cold. Machine.
	MachineStarted
	// RouterDied: a router's process has ended. Router.
	RouterDied
	// RouterPaused: a fault keeps a router from answering: its process is suspended, or, where the test environment
	// reports it, the router is partitioned or has no free descriptor. Router.
	RouterPaused
	// RouterResumed: no fault keeps the router from answering any more. Router.
	RouterResumed
	// DiscoveryDown: no router can reach discovery.
	DiscoveryDown
	// DiscoveryUp: routers can reach discovery again.
	DiscoveryUp
	// RouterPartitioned: a router is cut off from the network. Data sent to it arrives after the partition. Router.
	RouterPartitioned
	// RouterRejoined: a router is connected to the network again and has received data sent before. Router.
	RouterRejoined
)

var eventNames = [...]string{
	"request sent", "answer received", "client left", "connection fault", "connection dropped", "attempt received",
	"attempt ended", "executed", "fill received", "endpoint listed", "purged", "notified", "machine started",
	"router died", "router paused", "router resumed", "discovery down", "discovery up", "router partitioned",
	"router rejoined",
}

// String returns the name of an event kind in reports of violations.
func (k EventKind) String() string { return eventNames[k] }

// Event is something that was observed at a time. Which of the other fields are set depends on its kind; see EventKind.
type Event struct {
	At          Micros
	Kind        EventKind
	Request     RequestID
	Router      RouterID
	Machine     MachineID
	Source      MachineID // from which the attempt may be filled; Machine itself or NoMachine: from none
	Attempt     AttemptID
	Effect      Effect
	Outcome     Outcome
	Deadline    Micros // of the client, as a time
	Timeout     Micros // of the attempt, as a duration since SentAt
	SentAt      Micros // when the message that the event is about was sent; see EventKind
	EffectiveAt Micros // its meaning depends on the kind
	Object      uint64
	Group       int
	Number      int  // of a notice of discovery (EndpointListed or Purged); the first is 1
	Usable      bool // the machine neither drains nor is gone
	WholeGroup  bool // the purge is of Group, not of Object
}

// String returns a one-line description of an event for reports of violations.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3fs %s", e.At.Seconds(), e.Kind)
	if e.Request != 0 {
		fmt.Fprintf(&b, " request %016x", uint64(e.Request))
	}
	b.WriteString(e.details())
	return b.String()
}

// details formats the fields that are set for the event's kind, except Request.
func (e Event) details() string {
	switch e.Kind {
	case RequestSent:
		return fmt.Sprintf(" router %d deadline %.3fs", e.Router, e.Deadline.Seconds())
	case AnswerReceived:
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

// Violation is a violation of one of the five rules.
type Violation struct {
	Rule    int // 1 to 5
	At      Micros
	Request RequestID // 0: none
	Reason  string
	Events  []Event // events that prove the violation
}

// String returns the rule, the time and the reason, followed by one line for each event.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "rule %d at %.3fs: %s", v.Rule, v.At.Seconds(), v.Reason)
	for _, e := range v.Events {
		b.WriteString("\n  " + e.String())
	}
	return b.String()
}
