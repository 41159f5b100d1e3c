package frontend

import "time"

const (
	// requestTimeout is how long the rest of a request, or the first request of a connection, may take to arrive.
	requestTimeout = 2500 * time.Millisecond
	// maxValidRequest is a size in bytes that no valid request exceeds: a body, and the fields in front of it.
	maxValidRequest = maxBody + maxSmallRequest
	// maxEvictionTries is the maximum number of connections that are considered for one eviction.
	maxEvictionTries = 8
	// A limit counts as reached until the number that it limits falls below this fraction of it, so that a number that
	// varies around the limit is not logged repeatedly.
	belowLimitNumerator   = 3
	belowLimitDenominator = 4
)

// evict closes a connection on which a message larger than any valid request is arriving or, if there is none, the one
// that has been idle longest. It logs once each time the connection limit is reached.
func (s *Server) evict() {
	if c := s.oldestOversized(); c != nil {
		c.conn.Fail(errMessageTooLarge)
	} else if c := s.longestIdle(); c != nil {
		c.conn.Fail(errEvicted)
	}
	if !s.atConnectionLimit {
		s.atConnectionLimit = true
		s.log.WithField("connections", len(s.connections)).Warn("connection limit reached, closing idle clients")
	}
}

// oldestOversized returns, of the connections on which no request is open and a message larger than any valid request
// is arriving, the one that was accepted first, or nil. Clients that send such messages and leave at once would
// otherwise push out those who rest between two requests.
func (s *Server) oldestOversized() *connection {
	var oldest *connection
	for c := range s.connections {
		size := c.received.Len()
		if c.discarded != nil {
			size = c.discarded.bytes
		}
		if size > maxValidRequest && c.idle() && (oldest == nil || c.serial < oldest.serial) {
			oldest = c
		}
	}
	return oldest
}

// longestIdle returns the connection that has been idle longest and has no unread bytes, or nil if it finds none.
// Unread bytes may be a request, which must not be lost in a flood of new connections.
func (s *Server) longestIdle() *connection {
	for range maxEvictionTries {
		var oldest *connection
		for c := range s.connections {
			if c.idle() && (oldest == nil || c.lastActive.Before(oldest.lastActive)) {
				oldest = c
			}
		}
		if oldest == nil || !oldest.conn.HasUnread() {
			return oldest
		}
		oldest.lastActive = s.engine.Now() // the unread bytes are about to be handled
	}
	return nil
}

// Tick closes connections whose clients broke the protocol, exceed a limit, or are idle for too long. It must be called
// under the engine's lock some tens of times per second.
func (s *Server) Tick(now time.Time) {
	s.logBelowLimits()
	total := 0
	var slowestReader *connection
	for c := range s.connections {
		unsent := c.unsentBytes()
		c.recordProgress(unsent, now)
		if err := c.reasonToClose(unsent, now); err != nil {
			c.conn.Fail(err)
			continue
		}
		total += unsent
		if unsent > 0 && (slowestReader == nil || c.readsSlower(slowestReader)) {
			slowestReader = c
		}
	}
	if total > s.limits.ClientBytes { // each client is within its own limit, but together they would fill the memory
		slowestReader.conn.Fail(errAnswersNotRead)
	}
}

// logBelowLimits logs that a limit which was reached is no longer.
func (s *Server) logBelowLimits() {
	if s.atConnectionLimit && clearlyBelow(len(s.connections), s.limits.Connections) {
		s.atConnectionLimit = false
		s.log.WithField("connections", len(s.connections)).Info("connections below limit again")
	}
	if s.atMemoryLimit && clearlyBelow(s.incompleteBytes, s.limits.ClientBytes) {
		s.atMemoryLimit = false
		s.log.WithField("bytes", s.incompleteBytes).Info("incomplete requests below the memory limit again")
	}
}

func clearlyBelow(n, limit int) bool { return n < limit*belowLimitNumerator/belowLimitDenominator }

// readsSlower reports whether the client has read nothing for longer than that of other or, if both have read since the
// last Tick, has more left to read. A client that reads may have the most left, just after a large answer.
func (c *connection) readsSlower(other *connection) bool {
	if !c.lastProgress.Equal(other.lastProgress) {
		return c.lastProgress.Before(other.lastProgress)
	}
	return c.unsentBytes() > other.unsentBytes()
}

// recordProgress updates lastProgress if the client has read since the last call, or has nothing to read.
func (c *connection) recordProgress(unsent int, now time.Time) {
	sent := c.conn.Sent()
	if sent != c.sentAtProgress || unsent == 0 {
		c.sentAtProgress = sent
		c.lastProgress = now
	}
}

// reasonToClose returns the reason for closing the connection now, or nil if it stays open.
func (c *connection) reasonToClose(unsent int, now time.Time) error {
	limits := &c.server.limits
	switch {
	case unsent > limits.UnreadBytes || now.Sub(c.lastProgress) > limits.IdleTimeout:
		return errAnswersNotRead
	case c.closeReason != nil && c.safeToClose(now):
		return c.closeReason
	case !c.awaitingRequestSince.IsZero() && now.Sub(c.awaitingRequestSince) > requestTimeout && c.safeToClose(now):
		return errRequestTimeout
	case len(c.openRequests) == 0 && unsent == 0 && now.Sub(c.lastActive) > limits.IdleTimeout && !c.conn.HasUnread():
		return errIdle
	}
	return nil
}
