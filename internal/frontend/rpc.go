package frontend

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Server is the platform's own front.
type Server struct {
	engine          *transport.Engine
	log             *logrus.Logger
	handler         Handler
	openRequests    int // requests without an answer
	backlog         int // bytes that clients may leave unread, on one connection
	most            int // connections
	idle            time.Duration
	connections     map[*connection]struct{}
	crowded         bool
	room            int // bytes that clients may have held of each kind: the two below, and answers unread
	unfinishedBytes int // bytes of unfinished requests
	bodyBytes       int // bytes of requests that are owed an answer
	lastLogged      time.Time
	suppressed      int // connections closed for their clients' faults since then, without a line
	request         Request
	head            []byte
	tail            []byte
	peekBuffer      []byte
}

// NewServer makes the front. A client is cut off that leaves more than backlog bytes unread or reads nothing for the idle
// time; room is what all of them together may leave unread, and also what they may have held of unfinished requests,
// and of bodies. Where there are too many connections, those go first that have been idle longest.
func NewServer(e *transport.Engine, log *logrus.Logger, v Handler, backlog, room, most int, idle time.Duration) *Server {
	f := &Server{engine: e, log: log, handler: v, connections: map[*connection]struct{}{}}
	f.SetLimits(backlog, room, most, idle)
	return f
}

// SetLimits changes what clients are held to.
func (f *Server) SetLimits(backlog, room, most int, idle time.Duration) {
	f.backlog, f.room, f.most, f.idle = backlog, room, most, idle
}

// Accept makes the object behind a client's connection.
func (f *Server) Accept(c *transport.Conn) transport.Handler {
	now := f.engine.Now()
	if len(f.connections) >= f.most {
		if c := f.longestIdle(); c != nil {
			c.conn.Fail(errEvicted)
		}
		if !f.crowded {
			f.crowded = true
			f.log.WithField("connections", len(f.connections)).Warn("front: crowded, idle connections are closed")
		}
	}
	o := &connection{server: f, conn: c, lastUsed: now, lastProgress: now, waitingSince: now}
	f.connections[o] = struct{}{}
	return o
}

// longestIdle finds the connection to give up for a newcomer: the one idle longest, on which nothing has come. Under a flood
// of connections a request may lie unread for long, and closing on it would lose it.
func (f *Server) longestIdle() *connection {
	for range maxEvictionTries {
		var oldest *connection
		for o := range f.connections {
			if len(o.open) == 0 && o.unread() == 0 && (oldest == nil || o.lastUsed.Before(oldest.lastUsed)) {
				oldest = o
			}
		}
		if oldest == nil || !oldest.conn.HasUnread() {
			return oldest
		}
		oldest.lastUsed = f.engine.Now() // about to be heard
	}
	return nil
}

// Tick cuts off clients that have left too much unread, or nothing has been heard of for long. It is called under
// the lock, some tens of times a second.
func (f *Server) Tick(now time.Time) {
	if f.crowded && len(f.connections) < f.most*3/4 {
		f.crowded = false
		f.log.WithField("connections", len(f.connections)).Info("front: no longer crowded")
	}
	total, most := 0, 0
	var worst *connection
	for c := range f.connections {
		unread := c.unread()
		if sent := c.conn.Sent(); sent != c.lastSent || unread == 0 {
			c.lastSent, c.lastProgress = sent, now
		}
		switch {
		case unread > f.backlog || now.Sub(c.lastProgress) > f.idle:
			c.conn.Fail(errUnread)
			continue
		case c.closeReason != nil && c.settled(now):
			c.conn.Fail(c.closeReason)
			continue
		case !c.waitingSince.IsZero() && now.Sub(c.waitingSince) > requestTimeout && c.settled(now):
			c.conn.Fail(errRequestTimeout)
			continue
		case len(c.open) == 0 && unread == 0 && now.Sub(c.lastUsed) > f.idle && !c.conn.HasUnread():
			c.conn.Fail(errIdle)
			continue
		}
		if total += unread; unread > most {
			worst, most = c, unread
		}
	}
	if total > f.room { // wards off many slow readers that fill the memory together
		worst.conn.Fail(errUnread)
	}
}

// Idle tells that every request has its answer, every answer is with the kernel, and nothing lies unread.
func (f *Server) Idle() bool {
	if f.openRequests > 0 {
		return false
	}
	for c := range f.connections {
		if c.unread() != 0 || c.closeReason == nil && c.conn.HasUnread() {
			return false
		}
	}
	return true
}

const (
	maxMessage       = 1 << 20 // what is too large, but not absurd, gets an answer
	maxBody          = 48_000
	freeRequestBytes = 4096 // a request without a body is shorter
	maxOpenRequests  = 32
	maxPeek          = 1 << 16
	maxTag           = 64
	requestTimeout   = 2500 * time.Millisecond // a request begun is whole, and the first one has come

	arrivalTime      = 100 * time.Millisecond // an answer has arrived
	logInterval      = time.Second
	maxEvictionTries = 8
)

// Kinds of MessagePack-RPC messages.
const (
	kindRequest      = 0
	kindNotification = 2
)

var (
	errNotRPC           = errors.New("not a message of this protocol")
	errDuplicateID      = errors.New("an id that is open already")
	errTooManyRequests  = errors.New("too many open requests")
	errUnread           = errors.New("answers left unread")
	errRequestTimeout   = errors.New("no whole request in time")
	errDuplicateTraceID = errors.New("a request's mark that is open already")
	errIdle             = errors.New("idle")
	errEvicted          = errors.New("idle among too many")
	errUnfinishedBytes  = errors.New("unfinished requests fill the memory")
	errBadField         = errors.New("unusable field")
	errDuplicateField   = errors.New("doubled field")
	errMissingField     = errors.New("missing field")
	errBadBody          = errors.New("unusable body")
	errUnknownMethod    = errors.New("unknown method")
	errBodyTooLarge     = errors.New("too large a body")
)

// logClosed logs a client's fault, at most one a second: a flood of them is not to fill the log.
func (f *Server) logClosed(c *connection, err error) {
	if now := f.engine.Now(); now.Sub(f.lastLogged) >= logInterval {
		f.log.WithError(err).WithFields(logrus.Fields{"client": c.conn, "untold": f.suppressed}).Warn("front: connection closed")
		f.lastLogged, f.suppressed = now, 0
		return
	}
	f.suppressed++
}
