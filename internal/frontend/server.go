package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Limits are the limits that clients must observe.
type Limits struct {
	Connections int // number of connections of all clients
	UnreadBytes int // bytes of answers that one client may leave unread
	// ClientBytes limits the bytes that are stored for all clients. It applies separately to incomplete requests, to the
	// bodies of open requests, and to unread answers.
	ClientBytes int
	// IdleTimeout is the time after which a connection is closed if it is idle, or if its client reads no answers.
	IdleTimeout time.Duration
}

// Server accepts the connections of clients and serves their requests. Its methods must be called under the engine's
// lock, which guards all of its state.
// Invariant: openRequestCount, incompleteBytes and bodyBytes are sums over all connections.
type Server struct {
	engine            *transport.Engine
	log               *logrus.Logger
	handler           Handler
	limits            Limits
	connections       map[*connection]struct{}
	lastSerial        uint64
	atConnectionLimit bool // the connection limit was reached, and connections have not fallen clearly below it since

	stallStart time.Time // start of the last stall; stalls less than acceptDelay apart count as one
	stallEnd   time.Time // end of the last stall

	draining       bool      // Drain was called: all requests are rejected
	lastCloseWrite time.Time // when CloseIdle last closed a connection's sending side

	atMemoryLimit    bool // a message was discarded, and incompleteBytes has not fallen clearly below the limit since
	openRequestCount int  // number of requests without an answer
	incompleteBytes  int  // number of stored bytes of incomplete requests
	bodyBytes        int  // number of stored bytes of the bodies of open requests

	lastLogged time.Time // when logClosed last logged a connection
	suppressed int       // number of connections that logClosed has not logged since

	searchedBytes int64 // number of undecoded bytes that were searched for cancellations

	request      Request // scratch space: one request is read at a time
	head         []byte  // scratch space for the start of an answer
	tail         []byte  // scratch space for the end of an answer
	gathered     []byte  // answers to requests of the connection whose bytes are being decoded
	searchBuffer []byte  // scratch space for bytes that are searched before they are decoded; nil: not allocated
}

// NewServer returns a Server. The caller must pass Accept to engine.Listen, and call Tick regularly.
func NewServer(engine *transport.Engine, log *logrus.Logger, handler Handler, limits Limits) *Server {
	return &Server{engine: engine, log: log, handler: handler, limits: limits, connections: map[*connection]struct{}{}}
}

// SetLimits replaces the limits, for existing connections too.
func (s *Server) SetLimits(limits Limits) { s.limits = limits }

// Accept returns the handler of a new client connection. If the limit on connections is reached, it closes the
// connection that has been idle longest. A connection that is accepted within acceptDelay after a stall may get a
// backlog, because the client may have opened it and sent requests during the stall.
func (s *Server) Accept(conn *transport.Conn) transport.Handler {
	s.handler.DetectStall()
	now := s.engine.Now()
	if len(s.connections) >= s.limits.Connections {
		s.evict()
	}
	s.lastSerial++
	c := &connection{server: s, conn: conn, serial: s.lastSerial, lastActive: now, lastProgress: now,
		awaitingRequestSince: now}
	s.connections[c] = struct{}{}
	if now.Sub(s.stallEnd) <= acceptDelay {
		c.beginBacklog(s.stallStart, now)
	}
	return c
}

// Stalled tells the Server that the process has stalled from since until now, so that nothing was read.
func (s *Server) Stalled(since time.Time) {
	now := s.engine.Now()
	if since.Sub(s.stallEnd) > acceptDelay { // connections opened in the previous stall are accepted by now
		s.stallStart = since
	}
	s.stallEnd = now
	withUnread, buffersFull := 0, 0
	for c := range s.connections {
		c.beginBacklog(since, now)
		if c.backlog.active() {
			withUnread++
		}
		if c.backlog.moreMayFollow {
			buffersFull++
		}
	}
	s.log.WithFields(logrus.Fields{
		"stalled_ms":   now.Sub(since).Milliseconds(),
		"clients":      len(s.connections),
		"with_unread":  withUnread,
		"buffers_full": buffersFull,
		"searched_kb":  s.searchedBytes >> 10,
	}).Warn("the process did not run for some time")
}

// Idle reports whether every request is answered, the kernel has accepted every answer, and no bytes are unread on
// connections whose bytes are not dropped.
func (s *Server) Idle() bool {
	if s.openRequestCount > 0 {
		return false
	}
	for c := range s.connections {
		if c.unsentBytes() != 0 {
			return false
		}
		if c.closeReason == nil && !c.writeClosed && c.conn.HasUnread() {
			return false
		}
	}
	return true
}

const logInterval = time.Second // minimum time between two messages of logClosed

// logClosed logs that a connection was closed because its client broke the protocol or exceeded a limit. It logs at
// most one connection per logInterval, so that a flood of faulty connections does not fill the log.
func (s *Server) logClosed(c *connection, err error) {
	now := s.engine.Now()
	if now.Sub(s.lastLogged) < logInterval {
		s.suppressed++
		return
	}
	s.log.WithError(err).WithFields(logrus.Fields{"client": c.conn, "suppressed": s.suppressed}).
		Warn("client connection closed")
	s.lastLogged = now
	s.suppressed = 0
}
