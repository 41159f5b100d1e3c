package lease

import (
	"errors"
	"fmt"

	"threadrun/internal/hash"
)

// TaskKind is a kind of shared work.
type TaskKind uint8

// The kinds of tasks. A kind belongs here only if running its tasks twice, or on two routers at once, does no harm:
// terms and membership bound how long two routers run the tasks of one lease, but do not rule it out.
const (
	noTaskKind  TaskKind = iota
	Refresh              // of aging copies
	HealthCheck          // of caches

	lastTaskKind = HealthCheck
)

var taskKinds = [...]struct{ name, repeatCost string }{
	noTaskKind:  {},
	Refresh:     {"refresh", "one more fill of a copy, a few bytes where it has not changed"},
	HealthCheck: {"health check", "one more probe of a cache, half a millisecond of its work"},
}

func (k TaskKind) String() string { return taskKinds[k].name }

// RepeatCost tells what a second run of such a task costs.
func (k TaskKind) RepeatCost() string { return taskKinds[k].repeatCost }

// ErrNotIdempotent is returned for a task that must not run twice.
var ErrNotIdempotent = errors.New("lease: only idempotent tasks can be shared")

// Task is one piece of shared work. Only NewTask makes one, so every Task but the zero value may run twice.
type Task struct {
	kind TaskKind
	key  uint64
}

// NewTask makes a task of what may be shared. Key identifies what it is done to; idempotent says that a repetition
// changes nothing. The error is ErrNotIdempotent.
func NewTask(kind TaskKind, key uint64, idempotent bool) (Task, error) {
	if kind == noTaskKind || kind > lastTaskKind {
		return Task{}, fmt.Errorf("%w: unknown kind %d", ErrNotIdempotent, kind)
	}
	if !idempotent {
		return Task{}, fmt.Errorf("%w: %v of %x", ErrNotIdempotent, kind, key)
	}
	return Task{kind, key}, nil
}

// Key identifies what the task is done to.
func (t Task) Key() uint64 { return t.key }

// Valid reports whether NewTask made the task.
func (t Task) Valid() bool { return t.kind != noTaskKind }

// Partitions says into how many leases each kind of task is divided. All routers of a zone must have the same.
type Partitions struct{ Refresh, HealthChecks int }

// Count is the number of leases.
func (p Partitions) Count() int { return p.Refresh + p.HealthChecks }

// LeaseOf returns the lease that a task belongs to; false: its kind has no leases.
func (p Partitions) LeaseOf(t Task) (ID, bool) {
	switch {
	case t.kind == Refresh && p.Refresh > 0:
		return ID(hash.Combine(t.key, 0) % uint64(p.Refresh)), true
	case t.kind == HealthCheck && p.HealthChecks > 0:
		return ID(p.Refresh) + ID(hash.Combine(t.key, 0)%uint64(p.HealthChecks)), true
	}
	return 0, false
}
