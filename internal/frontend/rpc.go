package frontend

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Server is the platform's own front.
type Server struct {
	engine  *transport.Engine
	log     *logrus.Logger
	handler Handler
	owed    int // requests without an answer
	backlog int // bytes that clients may leave unread, on one connection
	most    int // connections
	idle    time.Duration
	conns   map[*connection]struct{}
	crowded bool
	room    int // bytes that clients may have held of each kind: the two below, and answers unread
	held    int // bytes of unfinished requests
	bodies  int // bytes of requests that are owed an answer
	told    time.Time
	untold  int // connections closed for their clients' faults since then, without a line
	ask     Request
	head    []byte
	tail    []byte
	peeked  []byte
}

// NewServer makes the front. A client is cut off that leaves more than backlog bytes unread or reads nothing for the idle
// time; room is what all of them together may leave unread, and also what they may have held of unfinished requests,
// and of bodies. Where there are too many connections, those go first that have been idle longest.
func NewServer(e *transport.Engine, log *logrus.Logger, v Handler, backlog, room, most int, idle time.Duration) *Server {
	f := &Server{engine: e, log: log, handler: v, conns: map[*connection]struct{}{}}
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
	if len(f.conns) >= f.most {
		if c := f.idlest(); c != nil {
			c.conn.Fail(errCrowded)
		}
		if !f.crowded {
			f.crowded = true
			f.log.WithField("connections", len(f.conns)).Warn("front: crowded, idle connections are closed")
		}
	}
	o := &connection{front: f, conn: c, used: now, moved: now, since: now}
	f.conns[o] = struct{}{}
	return o
}

// idlest finds the connection to give up for a newcomer: the one idle longest, on which nothing has come. Under a flood
// of connections a request may lie unread for long, and closing on it would lose it.
func (f *Server) idlest() *connection {
	for range peeksMost {
		var oldest *connection
		for o := range f.conns {
			if len(o.open) == 0 && o.unread() == 0 && (oldest == nil || o.used.Before(oldest.used)) {
				oldest = o
			}
		}
		if oldest == nil || !oldest.conn.HasUnread() {
			return oldest
		}
		oldest.used = f.engine.Now() // about to be heard
	}
	return nil
}

// Tick cuts off clients that have left too much unread, or nothing has been heard of for long. It is called under
// the lock, some tens of times a second.
func (f *Server) Tick(now time.Time) {
	if f.crowded && len(f.conns) < f.most*3/4 {
		f.crowded = false
		f.log.WithField("connections", len(f.conns)).Info("front: no longer crowded")
	}
	total, most := 0, 0
	var worst *connection
	for c := range f.conns {
		unread := c.unread()
		if sent := c.conn.Sent(); sent != c.sent || unread == 0 {
			c.sent, c.moved = sent, now
		}
		switch {
		case unread > f.backlog || now.Sub(c.moved) > f.idle:
			c.conn.Fail(errUnread)
			continue
		case c.ending != nil && c.settled(now):
			c.conn.Fail(c.ending)
			continue
		case !c.since.IsZero() && now.Sub(c.since) > completeWithin && c.settled(now):
			c.conn.Fail(errSilent)
			continue
		case len(c.open) == 0 && unread == 0 && now.Sub(c.used) > f.idle && !c.conn.HasUnread():
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
	if f.owed > 0 {
		return false
	}
	for c := range f.conns {
		if c.unread() != 0 || c.ending == nil && c.conn.HasUnread() {
			return false
		}
	}
	return true
}

const (
	messageMost    = 1 << 20 // what is too large, but not absurd, gets an answer
	bodyMost       = 48_000
	spareOf        = 4096 // a request without a body is shorter
	openMost       = 32
	peekMost       = 1 << 16
	tagMost        = 64
	completeWithin = 2500 * time.Millisecond // a request begun is whole, and the first one has come

	arriveWithin = 100 * time.Millisecond // an answer has arrived
	tellEvery    = time.Second
	peeksMost    = 8
)

// Kinds of MessagePack-RPC messages.
const (
	kindRequest      = 0
	kindNotification = 2
)

var (
	errNotRPC    = errors.New("not a message of this protocol")
	errSameID    = errors.New("an id that is open already")
	errTooMany   = errors.New("too many open requests")
	errUnread    = errors.New("answers left unread")
	errSilent    = errors.New("no whole request in time")
	errSameTrace = errors.New("a request's mark that is open already")
	errIdle      = errors.New("idle")
	errCrowded   = errors.New("idle among too many")
	errHeld      = errors.New("unfinished requests fill the memory")
	errField     = errors.New("unusable field")
	errDoubled   = errors.New("doubled field")
	errMissing   = errors.New("missing field")
	errBody      = errors.New("unusable body")
	errUseCase   = errors.New("unknown method")
	errTooLarge  = errors.New("too large a body")
)

// tell logs a client's fault, at most one a second: a flood of them is not to fill the log.
func (f *Server) tell(c *connection, err error) {
	if now := f.engine.Now(); now.Sub(f.told) >= tellEvery {
		f.log.WithError(err).WithFields(logrus.Fields{"client": c.conn, "untold": f.untold}).Warn("front: connection closed")
		f.told, f.untold = now, 0
		return
	}
	f.untold++
}
