package transport

import (
	"sync/atomic"
	"time"
)

// Conn is one connection. Its calls come under the engine's lock, but for HandleWritten, HandleConnected, HandleData
// and HandleClosed, by which the Network reports.
type Conn struct {
	engine     *Engine
	handler    Handler
	socket     Socket // nil: not established
	queued     int64  // bytes given to Send
	sent       atomic.Int64
	connectBy  time.Time
	cancelDial func() // nil: no connect is under way
	early      []byte // given to Send before the connection was established
	released   func() // called when an accepted connection no longer counts; nil: dialed
	closed     bool
}

// Send writes the parts, in order. What is not written at once is copied and follows; so is all that is sent before a
// dialed connection is established.
func (c *Conn) Send(parts ...[]byte) {
	if c.closed {
		return
	}
	size, count := 0, 0
	for _, part := range parts {
		if len(part) > 0 {
			parts[count] = part
			count++
			size += len(part)
		}
	}
	pending := c.queued != c.sent.Load()
	c.queued += int64(size)
	if c.socket == nil {
		for _, part := range parts[:count] {
			c.early = append(c.early, part...)
		}
		return
	}
	c.engine.parts = append(c.engine.parts[:0], parts[:count]...)
	if written := c.socket.Send(c.engine.parts, pending); written > 0 {
		c.sent.Add(int64(written))
	}
}

// Queued is how many bytes Send was given.
func (c *Conn) Queued() int64 { return c.queued }

// Sent is how many of the bytes given to Send the kernel has taken; they may have arrived.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Flushed tells whether the connection is established and the kernel has taken all that was sent: what is sent now goes
// out at once.
func (c *Conn) Flushed() bool { return c.socket != nil && c.queued == c.sent.Load() }

// Connected tells whether the connection was established.
func (c *Conn) Connected() bool { return c.socket != nil }

// AtEOF tells whether the peer has ended its side and all that it sent has been handed on.
func (c *Conn) AtEOF() bool {
	_, ended := c.Peek(c.engine.peeked[:])
	return ended
}

// HasUnread tells whether bytes were received that have not been handed on.
func (c *Conn) HasUnread() bool {
	n, _ := c.Peek(c.engine.peeked[:])
	return n > 0
}

// Peek copies what was received and not handed on yet. If there is none, ended tells that the peer has ended its side.
func (c *Conn) Peek(b []byte) (n int, ended bool) {
	if c.closed || c.socket == nil {
		return 0, false
	}
	return c.socket.Peek(b)
}

// Socket is the network's side of the connection, for simulations; nil: it is not established.
func (c *Conn) Socket() Socket { return c.socket }

// String names the peer for the log.
func (c *Conn) String() string {
	if c.socket == nil {
		return "unconnected"
	}
	return c.socket.String()
}

// Fail closes a connection and tells its handler, once.
func (c *Conn) Fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if c.handler != nil {
		c.handler.Closed(err)
	}
}

// Close closes a connection without telling its handler.
func (c *Conn) Close() {
	c.closed = true
	switch {
	case c.socket != nil:
		c.socket.Close()
	case c.cancelDial != nil:
		c.cancelDial()
		c.cancelDial = nil
	}
}
