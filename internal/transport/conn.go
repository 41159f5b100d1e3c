package transport

import (
	"sync/atomic"
	"time"
)

// Conn is one connection. Its methods must be called under the engine's lock, except those with which the Network
// reports events: HandleConnected, HandleData and HandleClosed must be called without the lock, and HandleWritten may
// be called with or without it.
//
// Invariant: sent never exceeds enqueued, and never decreases.
type Conn struct {
	engine          *Engine
	handler         Handler
	socket          Socket       // nil: not established
	enqueued        int64        // number of bytes passed to Send so far
	sent            atomic.Int64 // number of these bytes that the kernel has accepted
	connectDeadline time.Time
	cancelDial      func() // abandons the connect in progress; nil: none
	connectBuffer   []byte // bytes passed to Send before the connection was established
	onClosed        func() // called when the network reports the end of an accepted connection; nil: dialed
	closed          bool
	writeClosed     bool // CloseWrite was called
}

// Send sends the parts in order. Bytes that can't be written at once are copied and written later, as are all
// bytes sent before a dialed connection is established. Send modifies the slice parts, but not the bytes. It has
// no effect after Close or CloseWrite.
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
	pending := c.enqueued != c.sent.Load()
	c.enqueued += int64(size)
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

// Enqueued returns the number of bytes passed to Send so far, including those that the kernel has accepted.
func (c *Conn) Enqueued() int64 { return c.enqueued }

// Sent returns how many of the bytes passed to Send the kernel has accepted. These bytes may have arrived.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Flushed reports whether the connection is established and the kernel has accepted all bytes passed to Send, so
// that further bytes can be written at once.
func (c *Conn) Flushed() bool { return c.socket != nil && c.enqueued == c.sent.Load() }

// Connected reports whether the connection was established. It remains true after the connection is closed.
func (c *Conn) Connected() bool { return c.socket != nil }

// LookAhead reports whether received bytes have not been passed to the handler, and whether the peer has closed its
// sending side or reset the connection, be it behind such bytes.
func (c *Conn) LookAhead() (unread, peerClosed bool) {
	n, eof := c.Peek(c.engine.peekByte[:])
	if n == 0 {
		return false, eof
	}
	return true, c.socket.PeerClosed()
}

// HasUnread reports whether there are received bytes that have not been passed to the handler.
func (c *Conn) HasUnread() bool {
	n, _ := c.Peek(c.engine.peekByte[:])
	return n > 0
}

// Peek copies received bytes that have not been passed to the handler to b, without consuming them, and returns
// their number. If there are none, eof reports whether the peer has closed its sending side.
func (c *Conn) Peek(b []byte) (n int, eof bool) {
	if c.closed || c.socket == nil {
		return 0, false
	}
	return c.socket.Peek(b)
}

// fullBytes is a number of unread bytes with which a receive buffer may be full, whatever its size is.
const fullBytes = 1 << 16

// CountUnread returns the number of received bytes that the handler has not handled. unhandled is the number of bytes
// that were passed to the handler's Data and that Data has not handled yet; n includes them. full reports whether there
// may be more bytes, because n has reached fullBytes or the socket's FullThreshold, at which the receive buffer may be
// full and the peer unable to send. peerClosed is as in LookAhead.
func (c *Conn) CountUnread(unhandled int) (n int, full, peerClosed bool) {
	if c.closed || c.socket == nil {
		return unhandled, false, false
	}
	n = c.socket.Unread() + unhandled
	_, peerClosed = c.LookAhead()
	return n, n >= min(c.socket.FullThreshold(), fullBytes), peerClosed
}

// CloseWrite closes the sending side of the connection; bytes from the peer are still received. It must not be
// called before the connection is Flushed. Send has no effect afterward.
func (c *Conn) CloseWrite() {
	if c.closed || c.socket == nil {
		return
	}
	c.writeClosed = true
	c.socket.CloseWrite()
}

// Socket returns the Network's socket of the connection, or nil if the connection is not established. Simulations
// use it to inspect the simulated network.
func (c *Conn) Socket() Socket { return c.socket }

// String returns a description of the peer for logs.
func (c *Conn) String() string {
	if c.socket == nil {
		return "unconnected"
	}
	return c.socket.String()
}

// Fail closes the connection and calls the handler's Closed with err, unless the connection is already closed.
func (c *Conn) Fail(err error) {
	if c.closed {
		return
	}
	c.Close()
	if c.handler != nil {
		c.handler.Closed(err)
	}
}

// Close closes the connection, or abandons the connect, without calling the handler.
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
