package transport

import (
	"sync/atomic"
	"time"
)

// Conn is one connection. Its methods must be called under the engine's lock, except HandleWritten,
// HandleConnected, HandleData and HandleClosed, by which the Network reports events without the lock.
// Invariant: sent never exceeds queued, and never decreases.
type Conn struct {
	engine          *Engine
	handler         Handler
	socket          Socket       // nil: not established
	queued          int64        // bytes passed to Send
	sent            atomic.Int64 // of these, bytes that the kernel has accepted
	connectDeadline time.Time
	cancelDial      func() // nil: not connecting
	connectBuffer   []byte // bytes passed to Send before the connection was established
	onEnd           func() // called at the end of an accepted connection; nil: the connection was dialed
	closed          bool
	writeClosed     bool // by CloseWrite
}

// Send sends the parts in order. Bytes that can't be written at once are copied and written later, and so are all
// bytes sent before a dialed connection is established.
func (c *Conn) Send(parts ...[]byte) {
	if c.closed || c.writeClosed {
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
			c.connectBuffer = append(c.connectBuffer, part...)
		}
		return
	}
	c.engine.parts = append(c.engine.parts[:0], parts[:count]...)
	if written := c.socket.Send(c.engine.parts, pending); written > 0 {
		c.sent.Add(int64(written))
	}
}

// Queued returns the number of bytes passed to Send.
func (c *Conn) Queued() int64 { return c.queued }

// Sent returns how many of the bytes passed to Send the kernel has accepted. These bytes may have arrived.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Flushed reports whether the connection is established and the kernel has accepted all bytes, so that further
// bytes are sent at once.
func (c *Conn) Flushed() bool { return c.socket != nil && c.queued == c.sent.Load() }

// Connected reports whether the connection was established.
func (c *Conn) Connected() bool { return c.socket != nil }

// AtEOF reports whether the peer has closed its sending side and all received bytes were passed to the handler.
func (c *Conn) AtEOF() bool {
	_, ended := c.Peek(c.engine.peekByte[:])
	return ended
}

// HasUnread reports whether there are received bytes that were not passed to the handler yet.
func (c *Conn) HasUnread() bool {
	n, _ := c.Peek(c.engine.peekByte[:])
	return n > 0
}

// Peek copies received bytes that were not passed to the handler yet. If there are none, ended reports whether the
// peer has closed its sending side.
func (c *Conn) Peek(b []byte) (n int, ended bool) {
	if c.closed || c.socket == nil {
		return 0, false
	}
	return c.socket.Peek(b)
}

// PeekUnread copies received bytes as Peek does, and also reports whether there may be more than were received:
// the receive buffer may be full, so that the peer can't send. handled is the number of bytes that were read just
// before.
func (c *Conn) PeekUnread(b []byte, handled int) (n int, full, ended bool) {
	if c.closed || c.socket == nil {
		return handled, false, false
	}
	n, ended = c.socket.Peek(b)
	n += handled
	return n, n >= min(c.socket.FullThreshold(), len(b)), ended
}

// CloseWrite tells the peer that nothing more will be sent; what it sends is still received. It must not be called
// before the connection is established and Flushed. Send has no effect from now on.
func (c *Conn) CloseWrite() {
	if c.closed || c.socket == nil {
		return
	}
	c.writeClosed = true
	c.socket.CloseWrite()
}

// Socket returns the network's side of the connection, for simulations, or nil if it is not established.
func (c *Conn) Socket() Socket { return c.socket }

// String returns a description of the peer for logs.
func (c *Conn) String() string {
	if c.socket == nil {
		return "unconnected"
	}
	return c.socket.String()
}

// Fail closes the connection and calls the handler's Closed, unless the connection is already closed.
func (c *Conn) Fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if c.handler != nil {
		c.handler.Closed(err)
	}
}

// Close closes the connection without calling the handler.
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
