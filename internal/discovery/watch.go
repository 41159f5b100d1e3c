package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"threadrun/internal/http1"
	"threadrun/internal/transport"
)

// Handler takes what the endpoint list tells.
type Handler interface {
	// UpdateEndpoints takes changed endpoints; with complete, the list is all that there are.
	UpdateEndpoints(complete bool, list []Endpoint)
	// Purge takes a purge of an object or, with byGroup, of all objects of a group; issued is in Unix milliseconds.
	Purge(object string, byGroup bool, group int, issued int64)
	// WatchLost says that polls fail for now.
	WatchLost()
	// WatchRestored says that polls succeed again.
	WatchRestored()
	// CaughtUp says that a poll was answered and all events up to now were handed on.
	CaughtUp()
}

const (
	maxBody        = 4 << 20 // bytes
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// Errors that end a poll.
var (
	errTimeout       = errors.New("no answer in time")
	errClosed        = errors.New("connection closed by the discovery server")
	errTrailingBytes = errors.New("bytes beyond the answer")
)

// statusError is an answer with another status than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// Watch polls the endpoint list.
type Watch struct {
	engine  *transport.Engine
	log     *logrus.Logger
	handler Handler
	address string
	wait    time.Duration // the server may hold a poll for
	slack   time.Duration // beyond wait until a poll has failed; also for the connect

	last     int64 // event number
	gapPolls int   // since events went missing
	lost     bool  // the handler was notified
	conn     *transport.Conn
	polling  bool // a poll is out
	deadline time.Time
	retryAt  time.Time
	backoff  time.Duration
	received []byte
	parser   fastjson.Parser
}

// New makes a watch that has seen no event yet. A poll may be held for wait; it has failed slack later.
func New(engine *transport.Engine, log *logrus.Logger, handler Handler,
	address string, wait, slack time.Duration) *Watch {
	return &Watch{
		engine:  engine,
		log:     log,
		handler: handler,
		address: address,
		wait:    wait,
		slack:   slack,
		backoff: initialBackoff,
	}
}

// ApplyInitial takes the events that the configuration gives, in the form of an answer. An error says that it has no
// number.
func (w *Watch) ApplyInitial(answer *fastjson.Value) error { return w.applyAnswer(answer) }

// Reconfigure changes the address or the times, and goes on after the last event. A poll that is out is given up: the
// former address may never answer.
func (w *Watch) Reconfigure(address string, wait, slack time.Duration) {
	if w.address == address && w.wait == wait && w.slack == slack {
		return
	}
	w.address = address
	w.wait = wait
	w.slack = slack
	if w.conn != nil {
		w.conn.Close()
	}
	w.conn = nil
	w.polling = false
	w.retryAt = time.Time{}
	w.backoff = initialBackoff
}

// Tick connects when a poll is due, and fails one that is out for too long. It is called some tens of times a second.
func (w *Watch) Tick(now time.Time) {
	switch {
	case w.conn == nil && !now.Before(w.retryAt):
		w.received = w.received[:0]
		w.conn = w.engine.Dial(w.address, w.slack, w)
		w.poll()
	case w.conn != nil && now.After(w.deadline):
		w.fail(errTimeout)
	}
}

func (w *Watch) poll() {
	w.polling = true
	w.deadline = w.engine.Now().Add(w.wait + w.slack)
	path := string(appendPath(nil, w.last, w.wait))
	w.conn.Send(http1.AppendGet(nil, w.address, path))
}

// Data takes bytes of an answer.
func (w *Watch) Data(b []byte) error {
	w.received = append(w.received, b...)
	w.handleReceived(false)
	return nil
}

// Closed hears that the connection has ended. What has come may be an answer that ends with it.
func (w *Watch) Closed(err error) {
	if w.polling && len(w.received) > 0 {
		w.handleReceived(true)
		if !w.polling {
			return
		}
	}
	if w.conn != nil {
		w.fail(fmt.Errorf("%w: %w", errClosed, err))
	}
}

// handleReceived handles the answer that has come, if it is complete.
func (w *Watch) handleReceived(connectionEnded bool) {
	response, err := http1.Parse(w.received, maxBody, connectionEnded)
	switch {
	case errors.Is(err, http1.ErrIncomplete):
		return
	case err != nil:
		w.fail(err)
		return
	case response.Status >= 100 && response.Status < 200: // an interim answer
		w.discard(response.Size)
		w.handleReceived(connectionEnded)
		return
	}
	if err := w.handleResponse(&response); err != nil {
		w.fail(err)
		return
	}
	w.succeed()
	w.discard(response.Size)
	switch {
	case response.Close || connectionEnded:
		w.conn.Close()
		w.conn = nil
	case len(w.received) > 0:
		w.fail(errTrailingBytes)
	default:
		w.poll()
	}
}

func (w *Watch) handleResponse(response *http1.Response) error {
	if response.Status != 200 || !w.polling {
		return statusError(response.Status)
	}
	answer, err := w.parser.ParseBytes(response.Body)
	if err != nil {
		return err
	}
	return w.applyAnswer(answer)
}

// discard drops bytes that were handled.
func (w *Watch) discard(size int) {
	w.received = append(w.received[:0], w.received[size:]...)
}

func (w *Watch) succeed() {
	w.backoff = initialBackoff
	w.polling = false
	if w.lost {
		w.lost = false
		w.log.WithField("number", w.last).Info("discovery: watch restored")
		w.handler.WatchRestored()
	}
	w.handler.CaughtUp()
}

// fail gives up the poll that is out; the next follows after a backoff.
func (w *Watch) fail(err error) {
	w.conn.Close()
	w.conn = nil
	w.polling = false
	w.retryAt = w.engine.Now().Add(w.backoff)
	w.backoff = min(2*w.backoff, maxBackoff)
	if !w.lost {
		w.lost = true
		w.log.WithError(err).WithField("number", w.last).Warn("discovery: watch lost")
		w.handler.WatchLost()
	}
}
