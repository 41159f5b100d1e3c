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

// Handler handles the events of the endpoint list and the state of the watch. Its methods are called with the engine's
// lock held.
type Handler interface {
	// UpdateEndpoints handles a list of endpoints. If complete is set, the list replaces all known endpoints; otherwise it
	// contains only the changed ones.
	UpdateEndpoints(complete bool, list []Endpoint)
	// Purge handles a purge of an object, or of all objects of a group if byGroup is set. issued is in Unix
	// milliseconds.
	Purge(object string, byGroup bool, group int, issued int64)
	// WatchLost reports that a poll has failed. It is called again only after WatchRestored.
	WatchLost()
	// WatchRestored reports that a poll has succeeded after WatchLost.
	WatchRestored()
	// CaughtUp reports that all events up to the newest one of an answer were applied. It is not called after an answer
	// with missing events.
	CaughtUp()
}

const (
	maxBody        = 4 << 20 // limit of an answer's body, in bytes
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// Errors that end a poll.
var (
	errTimeout       = errors.New("timed out waiting for an answer")
	errClosed        = errors.New("connection closed by the discovery server")
	errTrailingBytes = errors.New("trailing bytes after the answer")
)

// statusError reports an answer whose HTTP status is not 200, or an answer that arrived while no poll was in flight.
type statusError int

// Error returns a message with the status.
func (e statusError) Error() string { return fmt.Sprintf("answer with HTTP status %d", int(e)) }

// Watch polls the endpoint list. It is guarded by the engine's lock.
type Watch struct {
	engine  *transport.Engine
	log     *logrus.Logger
	handler Handler
	address string
	wait    time.Duration // how long the server may hold a poll
	slack   time.Duration // time that a poll may take beyond wait; also the connect timeout

	lastApplied int64           // number of the last event that was applied, or skipped as invalid
	gapPolls    int             // number of polls since events were found missing
	caughtUp    bool            // all events up to the newest one of the last answer were applied
	lost        bool            // WatchLost was called, and WatchRestored was not called since
	conn        *transport.Conn // nil if there is no connection
	polling     bool            // a poll is in flight
	deadline    time.Time       // time at which the poll in flight fails
	retryAt     time.Time       // earliest time of the next connection
	backoff     time.Duration   // delay after the next failure
	received    []byte          // received bytes that are not handled yet
	parser      fastjson.Parser
}

// New returns a Watch that has applied no event yet. The server may hold a poll for wait; a poll fails after wait +
// slack. The first Tick connects to address.
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

// ApplyInitial applies the events in the configuration, which have the form of an answer. It returns an error if the
// answer does not contain the number of its newest event.
func (w *Watch) ApplyInitial(answer *fastjson.Value) error { return w.applyAnswer(answer) }

// Reconfigure changes the address and the timeouts. The watch continues after the last applied event. A poll in flight
// is abandoned, because the server at the former address may never answer it; the next Tick connects again.
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

// Tick connects and polls if there is no connection and the backoff has passed, and fails a poll whose deadline has
// passed. The caller must call it some tens of times per second.
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

// poll sends a poll for the events after the last applied one.
func (w *Watch) poll() {
	w.polling = true
	w.deadline = w.engine.Now().Add(w.wait + w.slack)
	path := string(appendPollPath(nil, w.lastApplied, w.wait))
	w.conn.Send(http1.AppendGet(nil, w.address, path))
}

// Data handles received bytes. It never returns an error: a watch closes a failed connection itself.
func (w *Watch) Data(b []byte) error {
	w.received = append(w.received, b...)
	w.handleReceived(false)
	return nil
}

// Closed handles the end of the connection, which also ends an answer whose length was not announced.
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

// handleReceived handles the received answer if it is complete, and then polls again.
func (w *Watch) handleReceived(connectionEnded bool) {
	response, err := http1.Parse(w.received, maxBody, connectionEnded)
	switch {
	case errors.Is(err, http1.ErrIncomplete):
		return
	case err != nil:
		w.fail(err)
		return
	case response.Status >= 100 && response.Status < 200: // an interim response, which the final one follows
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

// handleResponse applies the events of a response. A response is an error if no poll is in flight.
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

// discard removes the first size bytes of the received ones, which have been handled.
func (w *Watch) discard(size int) {
	w.received = append(w.received[:0], w.received[size:]...)
}

// succeed ends the poll in flight, resets the backoff and informs the Handler.
func (w *Watch) succeed() {
	w.backoff = initialBackoff
	w.polling = false
	if w.lost {
		w.lost = false
		w.log.WithField("number", w.lastApplied).Info("discovery: watch restored")
		w.handler.WatchRestored()
	}
	if w.caughtUp {
		w.handler.CaughtUp()
	}
}

// fail closes the connection and abandons the poll in flight. Tick polls again after the backoff, which doubles with
// each failure up to maxBackoff.
func (w *Watch) fail(err error) {
	w.conn.Close()
	w.conn = nil
	w.polling = false
	w.retryAt = w.engine.Now().Add(w.backoff)
	w.backoff = min(2*w.backoff, maxBackoff)
	if !w.lost {
		w.lost = true
		w.log.WithError(err).WithField("number", w.lastApplied).Warn("discovery: watch lost")
		w.handler.WatchLost()
	}
}
