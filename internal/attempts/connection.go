package attempts

import (
	"errors"
	"syscall"
	"time"

	"threadrun/internal/resp"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// attempt is one attempt on a connection. Its request is held back until the connection can take it at once: until then the attempt can
// be recalled, and nothing of it ever goes out.
type attempt struct {
	id         AttemptID
	get        Request
	body       []byte
	begun      bool
	begin, end int64 // where its bytes lie in what the connection was given
	set        time.Time
}

// connection is one connection.
type connection struct {
	pool      *Pool
	endpoint  *endpoint
	conn      *transport.Conn
	closed    bool // no new attempts
	open      []attempt
	cancelled []ID // that were dropped on it: an answer that comes for one is nobody's
	in        transport.ReceiveBuffer
	used      time.Time // last byte that came, or last attempt set out
	heard     time.Time // last byte that came
}

var lineEnd = []byte("\r\n")

// Connected sends what waited for the connection.
func (l *connection) Connected() { l.flush() }

// flush sends what is held back, in order, as far as the connection takes it at once.
func (l *connection) flush() {
	for i := range l.open {
		if !l.open[i].begun && l.conn.Flushed() {
			l.begin(&l.open[i])
		}
	}
}

// begin sends a request with what is left of its budget. One whose time is up stays back: its end is about to be told.
func (l *connection) begin(t *attempt) {
	y := l.pool
	get := t.get
	if get.Budget -= routing.Micros(y.engine.Now().Sub(t.set).Microseconds()); get.Budget <= 0 {
		return
	}
	y.head, y.fields = AppendRequest(y.head[:0], &get, len(t.body), y.fields)
	t.begin = l.conn.Queued()
	l.conn.Send(y.head, t.body, lineEnd)
	// Without its line's end a request is not whole, but a cache that goes by lengths might take it for that.
	t.end = l.conn.Queued() - int64(len(lineEnd))
	t.begun = true
	y.held--
}

// giveBack drops a request that was held back. A connection that does not stand yet and that nobody waits for is given up.
func (l *connection) giveBack(i int) {
	l.remove(i)
	if l.closeIfDone(); len(l.open) == 0 && !l.conn.Connected() && !l.closed {
		l.close()
	}
}

func (l *connection) rank() int {
	if l.conn.Connected() {
		return len(l.open)
	}
	return len(l.open) + 1
}

// carries tells whether an id has been on this connection and may yet be answered: a second attempt of a request must
// not be taken for its first.
func (l *connection) carries(id ID) bool {
	for i := range l.open {
		if l.open[i].get.ID == id {
			return true
		}
	}
	for _, g := range l.cancelled {
		if g == id {
			return true
		}
	}
	return false
}

// sendBack ends what a connection holds back that takes nothing more: none of it ever ran.
func (l *connection) sendBack() {
	for i := 0; l.closed && i < len(l.open); {
		if l.open[i].begun {
			i++
			continue
		}
		t := l.open[i].id
		l.remove(i)
		l.pool.host.AttemptEnded(t, &Result{Err: &Error{NotSent, errRetired}})
	}
}

func (l *connection) reach(t *attempt) Progress {
	switch sent := l.conn.Sent(); {
	case !l.conn.Connected():
		return NotConnected
	case !t.begun || sent <= t.begin:
		return NotSent
	case sent < t.end:
		return PartlySent
	case l.in.Len() > 0:
		return ResponseStarted
	}
	return Sent
}

func (l *connection) remove(i int) {
	if !l.open[i].begun {
		l.pool.held--
	}
	l.open = append(l.open[:i], l.open[i+1:]...)
}

// closeIfDone closes a connection that is to take no more attempts, once it has none.
func (l *connection) closeIfDone() {
	if l.closed && len(l.open) == 0 {
		l.close()
	}
}

// close closes a connection without attempts.
func (l *connection) close() {
	l.conn.Close()
	l.detach()
}

func (l *connection) detach() {
	l.closed = true
	for i, o := range l.endpoint.connections {
		if o == l {
			l.endpoint.connections = append(l.endpoint.connections[:i], l.endpoint.connections[i+1:]...)
			l.pool.open--
			break
		}
	}
	l.in.Release(l.pool.engine)
	if len(l.pool.probes) > 0 {
		l.pool.shown(Inconclusive, l.pool.engine.Now(), func(p *probe) bool { return p.on == l })
	}
}

// Closed ends all attempts of a connection as what they provably are.
func (l *connection) Closed(err error) {
	ends := make([]*Error, len(l.open))
	for i := range l.open {
		ends[i] = &Error{l.reach(&l.open[i]), err}
		if ends[i].Progress == NotConnected && errors.Is(err, syscall.ECONNRESET) {
			ends[i].Progress = NotSent // somebody took the connection and ended it: the cache is there
		}
	}
	if len(l.pool.probes) > 0 && !l.conn.Connected() && !errors.Is(err, syscall.ECONNRESET) { // reset when new, it is there: somebody took the connection
		l.pool.shown(Unreachable, l.pool.engine.Now(), func(p *probe) bool { return p.on == l })
	}
	open := l.open
	for i := range open {
		if !open[i].begun {
			l.pool.held--
		}
	}
	l.open = nil
	l.detach()
	for i, t := range open {
		l.pool.host.AttemptEnded(t.id, &Result{Err: ends[i]})
	}
}

// Data takes answers, whole ones in place.
func (l *connection) Data(b []byte) error {
	l.heard = l.pool.engine.Now()
	l.used, l.endpoint.heard, l.endpoint.asked = l.heard, l.heard, time.Time{}
	if err := l.in.Decode(l.pool.engine, b, l); err != nil {
		return err
	}
	l.flush()
	l.closeIfDone()
	return nil
}

// Next reads the answer that b begins with.
func (l *connection) Next(b []byte) (int, error) {
	words := l.pool.words[:]
	n, size, err := resp.Parse(b, words, wordMost)
	switch {
	case errors.Is(err, resp.ErrShort):
		return 0, nil
	case err != nil:
		return 0, err
	case n < 2:
		return 0, resp.ErrBroken
	}
	l.answer(words[:n])
	return size, nil
}

// answer finds the attempt that an answer is for. Late, repeated and unknown ones are nobody's.
func (l *connection) answer(words [][]byte) {
	if len(l.pool.probes) > 0 && string(words[1]) == "well" {
		l.pool.shown(Alive, l.heard, func(p *probe) bool { return p.tag == string(words[0]) })
	}
	for i := range l.open {
		if string(l.open[i].get.ID[:]) != string(words[0]) {
			continue
		}
		t := l.open[i].id
		e := &l.pool.end
		*e = Result{Status: Unknown}
		if w, ok := wordOf(words[1]); ok && (len(words) == 4 || w != OK && w != NotModified) {
			e.Status = w
		}
		if len(words) > 2 {
			e.Fields = words[2]
		}
		if len(words) > 3 {
			e.Body = words[3]
		}
		l.remove(i)
		l.pool.host.AttemptEnded(t, e)
		return
	}
}

func wordOf(b []byte) (Status, bool) { w, ok := words[string(b)]; return w, ok }
