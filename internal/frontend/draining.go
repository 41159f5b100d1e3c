package frontend

import (
	"cmp"
	"slices"
	"time"
)

// lingerTime is how long a connection is kept open after its sending side was closed, so that the client can read the
// answers and close its own side. An earlier close could destroy answers in transit, because the kernel sends a TCP
// reset if the client has sent more.
const lingerTime = 100 * time.Millisecond

// Drain makes the Server reject all further requests. The caller must then call CloseIdle repeatedly until Drained
// returns true.
func (s *Server) Drain() { s.draining = true }

// CloseIdle closes the sending side of each connection on which no request is open or being received. It spares a
// connection that was accepted less than lingerTime ago and has not received bytes yet: its first request may be on
// its way. Bytes that arrive later were sent before the client learned of the close; they are received and dropped.
func (s *Server) CloseIdle(now time.Time) {
	var idle []*connection
	for c := range s.connections {
		justAccepted := !c.hasReceived && now.Sub(c.lastActive) < lingerTime
		if !c.writeClosed && !justAccepted && c.idle() && !c.partlyReceived() && !c.conn.HasUnread() {
			idle = append(idle, c)
		}
	}
	// The order is fixed, so that simulations are reproducible.
	slices.SortFunc(idle, func(a, b *connection) int { return cmp.Compare(a.serial, b.serial) })
	for _, c := range idle {
		c.writeClosed = true
		c.conn.CloseWrite()
		s.lastCloseWrite = now
	}
}

// Drained reports whether the Server is idle, CloseIdle has closed the sending side of each remaining connection, and
// lingerTime has passed since it closed the last one. It does not wait for the rest of incomplete requests.
func (s *Server) Drained(now time.Time) bool {
	if !s.Idle() {
		return false
	}
	for c := range s.connections {
		if !c.writeClosed && !c.partlyReceived() {
			return false
		}
	}
	return len(s.connections) == 0 || now.Sub(s.lastCloseWrite) >= lingerTime
}

// Flushed reports whether the kernel has accepted all answers.
func (s *Server) Flushed() bool {
	for c := range s.connections {
		if c.unsentBytes() != 0 {
			return false
		}
	}
	return true
}
