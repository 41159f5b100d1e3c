package frontend

import "time"

const (
	// requestTimeout is how long the rest of a request, or the first request of a connection, may take to arrive.
	requestTimeout = 2500 * time.Millisecond
	// maxEvictionTries limits the search for a connection to evict.
	maxEvictionTries = 8
	// The connection limit counts as reached until the connections are below this fraction of it.
	belowLimitNumerator   = 3
	belowLimitDenominator = 4
)

// evict closes the connection that has been idle longest. It logs once each time the connection limit is reached.
func (s *Server) evict() {
	if c := s.longestIdle(); c != nil {
		c.conn.Fail(errEvicted)
	}
	if !s.atConnectionLimit {
		s.atConnectionLimit = true
		s.log.WithField("connections", len(s.connections)).Warn("connection limit reached, closing idle clients")
	}
}

// longestIdle returns the connection that has been idle longest and has no unread bytes, or nil. Unread bytes may
// be a request, which must not be lost in a flood of new connections.
func (s *Server) longestIdle() *connection {
	for range maxEvictionTries {
		var oldest *connection
		for c := range s.connections {
			if c.idle() && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
				oldest = c
			}
		}
		if oldest == nil || !oldest.conn.HasUnread() {
			return oldest
		}
		oldest.lastUsed = s.engine.Now() // its request is about to be read
	}
	return nil
}

// Tick closes connections whose clients exceed the limits. It must be called under the engine's lock some tens of
// times per second.
func (s *Server) Tick(now time.Time) {
	if s.atConnectionLimit && len(s.connections) < s.limits.Connections*belowLimitNumerator/belowLimitDenominator {
		s.atConnectionLimit = false
		s.log.WithField("connections", len(s.connections)).Info("connections below limit again")
	}
	total, largest := 0, 0
	var worst *connection
	for c := range s.connections {
		unsent := c.unsentBytes()
		c.recordProgress(unsent, now)
		if err := c.overLimit(unsent, now); err != nil {
			c.conn.Fail(err)
			continue
		}
		total += unsent
		if unsent > largest {
			worst = c
			largest = unsent
		}
	}
	if total > s.limits.ClientBytes { // each client is within its own limit, but all together would fill the memory
		worst.conn.Fail(errUnread)
	}
}

// recordProgress records the time if the client has read since the last call, or has nothing to read.
func (c *connection) recordProgress(unsent int, now time.Time) {
	sent := c.conn.Sent()
	if sent != c.lastSent || unsent == 0 {
		c.lastSent = sent
		c.lastProgress = now
	}
}

// overLimit returns the reason for closing the connection now, or nil.
func (c *connection) overLimit(unsent int, now time.Time) error {
	limits := &c.server.limits
	switch {
	case unsent > limits.UnreadBytes || now.Sub(c.lastProgress) > limits.Idle:
		return errUnread
	case c.closeReason != nil && c.safeToClose(now):
		return c.closeReason
	case !c.waitingSince.IsZero() && now.Sub(c.waitingSince) > requestTimeout && c.safeToClose(now):
		return errRequestTimeout
	case len(c.openRequests) == 0 && unsent == 0 && now.Sub(c.lastUsed) > limits.Idle && !c.conn.HasUnread():
		return errIdle
	}
	return nil
}
