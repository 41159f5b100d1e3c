package soak

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/testserver"
	"threadrun/simulation/invariants"
)

// Tolerances of the checker, which invariants.Settings describes. They are larger than in simulations on virtual
// time, because a process may have to wait for a processor.
const (
	timeSlack           = 250 * clock.Millisecond
	lostAfter           = 1500 * clock.Millisecond
	drainGrace          = 500 * clock.Millisecond
	purgeGrace          = 500 * clock.Millisecond
	notificationTimeout = 7000 * clock.Millisecond
	reconnectGrace      = 3000 * clock.Millisecond
)

// recorder passes events to the checker, in the order of time. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex // guards the fields below
	start       time.Time  // all times of the checker count from it
	checker     *invariants.Checker
	lastAttempt invariants.AttemptID
	requests    int
	problems    []string // failures other than violations of the rules
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), checker: invariants.New(invariants.Settings{
		DrainGrace: drainGrace, PurgeGrace: purgeGrace, AbandonGrace: 100 * clock.Millisecond, Slack: timeSlack,
		DeadlineSlack: timeSlack, LostAfter: lostAfter, NotificationTimeout: notificationTimeout,
		ReconnectGrace: reconnectGrace,
		// Overlapping attempts of a request are permitted: the recorder does not know when a router wrote a cancellation,
		// only when the cache has read it.
		Hedging:   true,
		SlowStart: map[invariants.MachineID]invariants.SlowStart{},
	})}
}

// observe records an event with the current time. The deadline of a RequestSent event is relative to that time.
func (r *recorder) observe(e invariants.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeLocked(e)
}

// observeLocked is observe for callers that hold mu.
func (r *recorder) observeLocked(e invariants.Event) {
	e.At = clock.FromDuration(time.Since(r.start))
	switch e.Kind {
	case invariants.RequestSent:
		r.requests++
		e.Deadline += e.At
	case invariants.AnswerReceived, invariants.AttemptReceived, invariants.AttemptEnded:
		e.SentAt = e.At
	}
	r.checker.Observe(e)
}

// attemptReceived records that a machine has received an attempt. It returns the attempt's id, which the event of
// its end must carry.
func (r *recorder) attemptReceived(
	machine, source invariants.MachineID, request *testserver.CacheRequest,
) invariants.AttemptID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAttempt++
	trace, _ := strconv.ParseUint(request.ID, 16, 64)
	budget, _ := strconv.Atoi(request.Fields["budget"])
	r.observeLocked(invariants.Event{
		Kind: invariants.AttemptReceived, Request: invariants.RequestID(trace), Router: routerOf(trace), Machine: machine,
		Source: source, Attempt: r.lastAttempt, Timeout: clock.Micros(budget) * clock.Millisecond,
	})
	return r.lastAttempt
}

// fromUnixMillis converts a Unix time in milliseconds to a time of the checker.
func (r *recorder) fromUnixMillis(ms int64) clock.Micros {
	return clock.FromDuration(time.UnixMilli(ms).Sub(r.start))
}

// addProblem records a failure that is not a violation of a rule.
func (r *recorder) addProblem(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, values...))
}

// finish ends the check. It returns the problems and the violations.
func (r *recorder) finish() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker.Finish(clock.FromDuration(time.Since(r.start)))
	failures := r.problems
	for _, v := range r.checker.Violations() {
		failures = append(failures, v.String())
	}
	return failures
}
