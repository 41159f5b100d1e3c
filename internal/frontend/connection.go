package frontend

import (
	"errors"
	"time"

	"threadrun/internal/msgpack"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// connection is one client's connection.
type connection struct {
	front   *Server
	conn    *transport.Conn
	in      transport.ReceiveBuffer
	open    []openRequest
	said    bool      // a whole message, in what has just come
	after   []byte    // what has come behind the message that is being read
	reading bool      // messages are being read
	last    uint64    // number given to a request
	used    time.Time // last request
	since   time.Time // it owes the rest of a request since, or its first; zero: it owes none
	moved   time.Time // last time that the client read, or had nothing to read
	sent    int64

	finished bool      // the client has ended its sending with what is being read
	answered time.Time // last answer
	ending   error     // what the connection ends for once nothing is owed on it; nothing is read on it any more
}

// settled tells whether nothing is owed on the connection and the last answer has had time to arrive: ending it sooner could meet
// bytes that lie unread with a reset, which takes what is still on its way along.
func (c *connection) settled(now time.Time) bool {
	return len(c.open) == 0 && c.unread() == 0 && now.Sub(c.answered) >= arriveWithin
}

func (c *connection) unread() int { return int(c.conn.Queued() - c.conn.Sent()) }

type openRequest struct {
	id      uint64 // the client's; it may come again once it is answered
	no      uint64 // ours, never the same twice on a connection
	request routing.RequestID
	body    int // bytes that are held for it
}

// Data takes requests, whole ones in place.
func (c *connection) Data(b []byte) error {
	if c.ending != nil {
		return nil
	}
	c.front.held -= c.in.Len()
	err := c.take(b)
	if err != nil {
		c.in.Release(c.front.engine)
	}
	c.front.held += c.in.Len()
	if err != nil && !c.settled(c.used) { // what was read before still gets its answer
		c.ending = err
		return nil
	}
	return err
}

func (c *connection) take(b []byte) error {
	c.used, c.said = c.front.engine.Now(), false
	c.finished = c.conn.AtEOF()
	c.reading = true
	err := c.in.Decode(c.front.engine, b, c)
	c.reading = false
	if err != nil {
		return err
	}
	switch { // bytes alone buy no time: wards off clients that say a request drop by drop
	case c.in.Len() == 0:
		c.since = time.Time{}
	case c.said || c.since.IsZero():
		c.since = c.used
	}
	if n := c.in.Len(); n > spareOf && c.front.held+n > c.front.room { // wards off a flood of halves of large requests
		return errHeld
	}
	return nil
}

// Next reads the message that b begins with.
func (c *connection) Next(b []byte) (int, error) {
	n, err := msgpack.Size(b, messageMost)
	if errors.Is(err, msgpack.ErrShort) && len(b) < messageMost {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.said, c.after = true, b[n:]
	err = c.message(b[:n])
	c.after = nil
	return n, err
}

func (c *connection) message(b []byte) error {
	r := msgpack.Read(b)
	n := r.Array()
	kind := r.Uint()
	switch {
	case r.Err() != nil:
		return errNotRPC
	case kind == kindNotification && n == 3:
		again := msgpack.Read(b)
		if id, ok := cancellation(&again); ok {
			c.cancel(id)
		}
		return nil // other notifications are nobody's
	case kind != kindRequest || n != 4:
		return errNotRPC
	}
	id := r.Uint()
	if r.Err() != nil {
		return errNotRPC
	}
	for i := range c.open { // wards off two answers that the client can't tell apart
		if c.open[i].id == id {
			return errSameID
		}
	}
	method := r.Bytes()
	if r.Err() != nil {
		c.refuse(id, errUseCase)
		return nil
	}
	if string(method) == "probe" {
		c.probed(id)
		return nil
	}
	if c.front.handler.Stalled() && c.cancelled(id) {
		return nil // nothing is owed any more
	}
	if c.finished { // none of it has gone anywhere, and no attempt may begin for a client that may be gone
		c.sendError(id, "Shed", "why", "")
		return nil
	}
	ask := &c.front.ask
	*ask = Request{}
	err := c.read(&r, method, ask)
	if err == nil && len(c.open) >= openMost {
		err = errTooMany
	}
	if err != nil {
		c.refuse(id, err)
		return nil
	}
	if n := len(ask.Body); n > 0 && c.front.bodies+n > c.front.room { // wards off a flood of writes that fills the memory
		c.sendError(id, "Shed", "why", "") // none of it has gone anywhere
		return nil
	}
	c.last++
	c.open = append(c.open, openRequest{id: id, no: c.last, body: len(ask.Body)})
	c.front.owed++
	c.front.bodies += len(ask.Body)
	if !c.front.handler.Arrive(c, c.last, ask) {
		c.drop(len(c.open) - 1)
		c.refuse(id, errSameTrace)
	}
	return nil
}

// Canceled tells whether the client has cancelled a request, or closed its connection, in what was not read yet.
func (c *connection) Canceled(no uint64) bool {
	for i := range c.open {
		if c.open[i].no == no {
			return c.cancelled(c.open[i].id)
		}
	}
	return false
}

// cancelled looks at what lies unread for a cancellation of a request, or the connection's end.
func (c *connection) cancelled(id uint64) bool {
	f := c.front
	if f.peeked == nil {
		f.peeked = make([]byte, peekMost)
	}
	n, ended := c.conn.Peek(f.peeked)
	before := c.in.Bytes()
	if c.reading {
		before = c.after
	}
	if len(before) == 0 {
		return ended || cancels(f.peeked[:n], id)
	}
	return ended || cancels(append(append([]byte(nil), before...), f.peeked[:n]...), id)
}

// cancels tells whether one of the whole messages in b cancels a request.
func cancels(b []byte, id uint64) bool {
	for len(b) > 0 {
		n, err := msgpack.Size(b, messageMost)
		if err != nil || n == 0 {
			return false
		}
		r := msgpack.Read(b[:n])
		if of, ok := cancellation(&r); ok && of == id {
			return true
		}
		b = b[n:]
	}
	return false
}

// cancellation reads a message that cancels a request.
func cancellation(r *msgpack.Reader) (id uint64, ok bool) {
	if r.Array() != 3 || r.Uint() != kindNotification || string(r.Bytes()) != "giveUp" || r.Array() < 1 {
		return 0, false
	}
	id = r.Uint()
	return id, r.Err() == nil
}

// cancel ends what is owed for one request.
func (c *connection) cancel(id uint64) {
	for i := range c.open {
		if c.open[i].id == id {
			v := c.open[i].request
			c.drop(i)
			c.front.handler.ClientLeft(v)
			return
		}
	}
}

// Closed ends what is owed on a connection that is gone.
func (c *connection) Closed(err error) {
	delete(c.front.conns, c)
	c.front.held -= c.in.Len()
	c.in.Release(c.front.engine)
	if !errors.Is(err, errIdle) && !errors.Is(err, errCrowded) && transport.IsLocalError(err) {
		c.front.tell(c, err)
	}
	open := c.open
	c.open = nil
	c.front.owed -= len(open)
	for _, o := range open {
		c.front.bodies -= o.body
		c.front.handler.ClientLeft(o.request)
	}
}

// Assigned ties the router's name for a request to its request.
func (c *connection) Assigned(no uint64, v routing.RequestID) {
	for i := range c.open {
		if c.open[i].no == no {
			c.open[i].request = v
		}
	}
}

func (c *connection) drop(i int) {
	c.front.bodies -= c.open[i].body
	c.open[i] = c.open[len(c.open)-1]
	c.open = c.open[:len(c.open)-1]
	c.front.owed--
}
