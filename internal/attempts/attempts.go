// Package attempts holds the connections to caches, parents and the origin. It carries requests out and answers
// back, and tells of each attempt how far it had come when it ended. It never tries again and never picks a cache.
package attempts

import (
	"bytes"
	"errors"
	"time"

	"threadrun/internal/resp"
	"threadrun/routing"
)

// AttemptID names one attempt of one request.
type AttemptID struct {
	Request routing.RequestID
	Attempt routing.AttemptNumber
}

// Progress is how far an attempt had come when it ended: what can have arrived at the other side.
type Progress uint8

const (
	NotConnected    Progress = iota // no connection ever stood for it
	NotSent                         // the kernel took none of its bytes
	PartlySent                      // not all of them: no whole request can have arrived
	Sent                            // all of them, and nothing has come back
	ResponseStarted                 // an answer to it, or to another on its connection, had begun
)

// Error is the error of an attempt that got no answer.
type Error struct {
	Progress Progress
	Err      error
}

func (f *Error) Error() string { return reaches[f.Progress] + ": " + f.Err.Error() }

// Unwrap gives what ended the connection.
func (f *Error) Unwrap() error { return f.Err }

var reaches = [...]string{"unconnected", "unsent", "part sent", "sent", "answering"}

// Status is what an answer says.
type Status uint8

const (
	NoAnswer Status = iota // no answer: see the Fault
	OK
	NotModified
	NotFound
	Overloaded
	Failed
	Expired
	Unknown // a word that is not in the protocol
)

var words = map[string]Status{"data": OK, "unchanged": NotModified, "absent": NotFound, "full": Overloaded,
	"failed": Failed, "moot": Expired}

// Result is the end of one attempt. Fields and Body are good within the call only.
type Result struct {
	Status Status
	Fields []byte
	Body   []byte
	Err    *Error
}

// Field finds a value in a list of fields.
func (e *Result) Field(name string) []byte {
	rest := e.Fields
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		if key, value, ok := bytes.Cut(pair, []byte("=")); ok && string(key) == name {
			return value
		}
	}
	return nil
}

// Handler hears how attempts end, and what probes showed. It is called in the midst of things, and must not call back into the
// pool.
type Handler interface {
	AttemptEnded(t AttemptID, e *Result)
	ProbeEnded(no uint64, what ProbeResult, took time.Duration)
}

// ID is a request's id on its connection: the client's own mark of the request.
type ID = [16]byte

var (
	errStuck   = errors.New("an answer that stopped midway")
	errRetired = errors.New("the connection takes no more requests")
)

const (
	wordMost  = 260_000
	givenMost = 64
)

// Send sets a request out, at once or as soon as its connection takes it. What get and body point to must stay as it is until the
// attempt has ended. Where there is no way out at all, its end is told within the call.
func (y *Pool) Send(t AttemptID, c routing.EndpointID, get *Request, body []byte) {
	if int(c) >= len(y.endpoints) || y.endpoints[c] == nil {
		y.host.AttemptEnded(t, &Result{Err: &Error{NotConnected, errors.New("no address")}})
		return
	}
	l := y.endpoints[c].choose(y, get.ID)
	if l == nil {
		y.host.AttemptEnded(t, &Result{Err: &Error{NotConnected, errors.New("no connection to be had")}})
		return
	}
	l.used = y.engine.Now()
	l.open = append(l.open, attempt{id: t, get: *get, body: body, set: l.used})
	y.held++
	l.flush()
}

// Withdraw takes an attempt back if nothing of its request has gone out; nothing more is heard of it then.
func (y *Pool) Withdraw(t AttemptID, c routing.EndpointID) bool {
	l, i := y.find(t, c)
	if l == nil || l.open[i].begun {
		return false
	}
	l.giveBack(i)
	return true
}

// find finds an attempt that is open; nil: there is none.
func (y *Pool) find(t AttemptID, c routing.EndpointID) (*connection, int) {
	if int(c) >= len(y.endpoints) || y.endpoints[c] == nil {
		return nil, 0
	}
	for _, l := range y.endpoints[c].connections {
		for i := range l.open {
			if l.open[i].id == t {
				return l, i
			}
		}
	}
	return nil, 0
}

// Cancel gives an attempt up and tells how far it has come, for good; nothing more is heard of it.
func (y *Pool) Cancel(t AttemptID, c routing.EndpointID) Progress {
	l, i := y.find(t, c)
	if l == nil {
		return NotConnected
	}
	o := l.open[i]
	if !o.begun {
		reach := l.reach(&o)
		l.giveBack(i)
		return reach
	}
	l.remove(i)
	if len(l.open) == 0 && l.conn.Sent() < o.end {
		// Closed first, measured then: what waits here must neither follow later nor slip out meanwhile.
		l.close()
		return l.reach(&o)
	}
	reach := max(l.reach(&o), Sent) // on a connection that lives on, its bytes still go out
	l.cancelled = append(l.cancelled, o.get.ID)
	// A connection that has said nothing all the while may be dead, and behind a part of an answer all others
	// wait: it gets no more attempts.
	l.closed = l.closed || len(l.cancelled) >= givenMost || l.heard.Before(o.set) || l.in.Len() > 0
	l.conn.Send(resp.AppendWord(resp.AppendWord(resp.AppendArray(nil, 2), "DROP"), o.get.ID[:]))
	l.sendBack()
	l.closeIfDone()
	return reach
}
