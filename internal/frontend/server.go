package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Limits is what clients are held to.
type Limits struct {
	Connections int           // of all clients
	UnreadBytes int           // of answers that one client may leave unread
	ClientBytes int           // held for all clients, of each kind: unfinished requests, bodies, unread answers
	Idle        time.Duration // after which a connection is closed
}

// Server is the front end for the platform's client protocol.
type Server struct {
	engine      *transport.Engine
	log         *logrus.Logger
	handler     Handler
	limits      Limits
	connections map[*connection]struct{}
	crowded     bool // connections reached their limit

	openRequests    int // without an answer yet
	unfinishedBytes int // held of requests that have not come whole
	bodyBytes       int // held of open requests

	lastLogged time.Time // a connection that was closed for its client's fault
	suppressed int       // such connections since, without a log line

	request    Request // scratch: one request is read at a time
	head       []byte  // scratch for an answer's start
	tail       []byte  // and its end
	peekBuffer []byte
}

// NewServer makes a front end; its Accept is to be given to the listener, and Tick to be called.
func NewServer(engine *transport.Engine, log *logrus.Logger, handler Handler, limits Limits) *Server {
	return &Server{engine: engine, log: log, handler: handler, limits: limits, connections: map[*connection]struct{}{}}
}

// SetLimits changes what clients are held to.
func (s *Server) SetLimits(limits Limits) { s.limits = limits }

// Accept makes the handler of a client's connection. Where there are too many, the longest idle one is closed.
func (s *Server) Accept(conn *transport.Conn) transport.Handler {
	now := s.engine.Now()
	if len(s.connections) >= s.limits.Connections {
		s.evict()
	}
	c := &connection{server: s, conn: conn, lastUsed: now, lastProgress: now, waitingSince: now}
	s.connections[c] = struct{}{}
	return c
}

// Idle reports whether every request has its answer, every answer is with the kernel, and nothing is unread.
func (s *Server) Idle() bool {
	if s.openRequests > 0 {
		return false
	}
	for c := range s.connections {
		if c.unread() != 0 {
			return false
		}
		if c.closeReason == nil && c.conn.HasUnread() {
			return false
		}
	}
	return true
}

const logInterval = time.Second

// logClosed logs that a connection was closed for its client's fault, once each logInterval at most: a flood of faults
// may not fill the log.
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
