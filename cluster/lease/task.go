package lease

import (
	"errors"
	"fmt"

	"threadrun/internal/hash"
)

// TaskKind is a kind of shared work.
type TaskKind uint8

// The kinds of tasks. A kind may be added only if its tasks may run twice, or on two routers at once, without harm:
// terms and membership limit how long two routers run the tasks of one lease, but do not prevent it.
const (
	noTaskKind  TaskKind = iota
	Refresh              // of aging copies
	HealthCheck          // of caches

	lastTaskKind = HealthCheck
)

// taskKinds describes the kinds. repeatCost is what a second run of a task costs; every kind must state it.
var taskKinds = [...]struct{ name, repeatCost string }{
	noTaskKind:  {},
	Refresh:     {"refresh", "one more fill of a copy, a few bytes where it has not changed"},
	HealthCheck: {"health check", "one more probe of a cache, half a millisecond of its work"},
}

// String returns the kind's name for errors. It panics for an unknown kind.
func (k TaskKind) String() string { return taskKinds[k].name }

// RepeatCost returns a description of what a second run of such a task costs.
func (k TaskKind) RepeatCost() string { return taskKinds[k].repeatCost }

// ErrNotIdempotent is returned for a task that must not run twice.
var ErrNotIdempotent = errors.New("lease: only idempotent tasks can be shared")

// Task is one unit of shared work. Only NewTask creates valid tasks, so that a valid Task may always run twice. The
// zero Task is invalid.
type Task struct {
	kind TaskKind
	key  uint64
}

// NewTask returns a task. key identifies its subject, such as an object or a cache; idempotent states that a second
// run changes nothing. The error wraps ErrNotIdempotent, also for an unknown kind.
func NewTask(kind TaskKind, key uint64, idempotent bool) (Task, error) {
	if kind == noTaskKind || kind > lastTaskKind {
		return Task{}, fmt.Errorf("%w: unknown kind %d", ErrNotIdempotent, kind)
	}
	if !idempotent {
		return Task{}, fmt.Errorf("%w: %v task with key %x", ErrNotIdempotent, kind, key)
	}
	return Task{kind, key}, nil
}

// Key returns the identifier of the task's subject.
func (t Task) Key() uint64 { return t.key }

// Valid reports whether the task was created by NewTask.
func (t Task) Valid() bool { return t.kind != noTaskKind }

// Counts configures the number of leases for each kind of task. It must be identical at all routers of a zone:
// routers with different totals ignore each other's datagrams. The leases of Refresh have the first IDs.
type Counts struct{ Refresh, HealthChecks int }

// Total returns the total number of leases.
func (c Counts) Total() int { return c.Refresh + c.HealthChecks }

// LeaseOf returns the lease that a task belongs to, or false if its kind has no leases. It depends only on the
// task's kind and key, so that all routers agree on it.
func (c Counts) LeaseOf(t Task) (ID, bool) {
	switch {
	case t.kind == Refresh && c.Refresh > 0:
		return ID(hash.Combine(t.key, 0) % uint64(c.Refresh)), true
	case t.kind == HealthCheck && c.HealthChecks > 0:
		return ID(c.Refresh) + ID(hash.Combine(t.key, 0)%uint64(c.HealthChecks)), true
	}
	return 0, false
}
