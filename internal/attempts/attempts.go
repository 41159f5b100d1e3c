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
	Visit routing.VisitID
	Trip  routing.TripNo
}

// Reach is how far an attempt had come when it ended: what can have arrived at the other side.
type Reach uint8

const (
	Unconnected Reach = iota // no connection ever stood for it
	Unsent                   // the kernel took none of its bytes
	PartSent                 // not all of them: no whole request can have arrived
	Sent                     // all of them, and nothing has come back
	Answering                // an answer to it, or to another on its connection, had begun
)

// Fault is the error of an attempt that got no answer.
type Fault struct {
	Reach Reach
	Err   error
}

func (f *Fault) Error() string { return reaches[f.Reach] + ": " + f.Err.Error() }

// Unwrap gives what ended the connection.
func (f *Fault) Unwrap() error { return f.Err }

var reaches = [...]string{"unconnected", "unsent", "part sent", "sent", "answering"}

// Word is what an answer says.
type Word uint8

const (
	Silent Word = iota // no answer: see the Fault
	Data
	Unchanged
	Absent
	Full
	Failed
	Moot
	Unknown // a word that is not in the protocol
)

var words = map[string]Word{"data": Data, "unchanged": Unchanged, "absent": Absent, "full": Full,
	"failed": Failed, "moot": Moot}

// End is the end of one attempt. Fields and Body are good within the call only.
type End struct {
	Word   Word
	Fields []byte
	Body   []byte
	Fault  *Fault
}

// Field finds a value in a list of fields.
func (e *End) Field(name string) []byte {
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

// Host hears how attempts end, and what probes showed. It is called in the midst of things, and must not call back into the
// pool.
type Host interface {
	Ended(t AttemptID, e *End)
	Probed(no uint64, what ProbeResult, took time.Duration)
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
func (y *Pool) Send(t AttemptID, c routing.CacheID, get *Request, body []byte) {
	if int(c) >= len(y.endpoints) || y.endpoints[c] == nil {
		y.host.Ended(t, &End{Fault: &Fault{Unconnected, errors.New("no address")}})
		return
	}
	l := y.endpoints[c].choose(y, get.ID)
	if l == nil {
		y.host.Ended(t, &End{Fault: &Fault{Unconnected, errors.New("no connection to be had")}})
		return
	}
	l.used = y.engine.Now()
	l.open = append(l.open, attempt{id: t, get: *get, body: body, set: l.used})
	y.held++
	l.flush()
}

// Recall takes an attempt back if nothing of its request has gone out; nothing more is heard of it then.
func (y *Pool) Recall(t AttemptID, c routing.CacheID) bool {
	l, i := y.find(t, c)
	if l == nil || l.open[i].begun {
		return false
	}
	l.giveBack(i)
	return true
}

// find finds an attempt that is open; nil: there is none.
func (y *Pool) find(t AttemptID, c routing.CacheID) (*connection, int) {
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
func (y *Pool) Cancel(t AttemptID, c routing.CacheID) Reach {
	l, i := y.find(t, c)
	if l == nil {
		return Unconnected
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
