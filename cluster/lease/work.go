package lease

import (
	"errors"
	"fmt"

	"threadrun/internal/hash"
)

// TaskKind is a kind of work that routers share.
type TaskKind uint8

// The kinds. A kind belongs here only if doing its work twice, or by two routers at once, harms nobody: terms and
// membership bound how long two routers work on one duty, but nothing here makes it impossible.
const (
	noTaskKind   TaskKind = iota
	Refresh               // of ageing copies
	HealthCheck           // of caches
	lastTaskKind = HealthCheck
)

var taskKinds = [...]struct{ name, doubled string }{
	{}, {"renewing", "one more fill of a copy, a few bytes where it has not changed"},
	{"probing", "one more probe of a cache, half a millisecond of its work"},
}

func (k TaskKind) String() string { return taskKinds[k].name }

// RepeatCost names what a second run of such work costs.
func (k TaskKind) RepeatCost() string { return taskKinds[k].doubled }

// ErrNotIdempotent refuses work that must not be done twice.
var ErrNotIdempotent = errors.New("duties: only harmless work can be shared")

// Task is a piece of shared work. It can be made by NewWork alone, so whoever has one has work that may run twice.
type Task struct {
	kind TaskKind
	key  uint64
}

// NewTask is the one place where work is let in to be shared. Harmless is what is known of its effect: a repeat changes
// nothing anywhere. Key names what it is done to.
func NewTask(k TaskKind, key uint64, harmless bool) (Task, error) {
	if k == noTaskKind || k > lastTaskKind {
		return Task{}, fmt.Errorf("%w: kind %d is not among them", ErrNotIdempotent, k)
	}
	if !harmless {
		return Task{}, fmt.Errorf("%w: %v of %x", ErrNotIdempotent, k, key)
	}
	return Task{k, key}, nil
}

// Kind is the kind of a piece of work; that of the zero Work is none.
func (w Task) Kind() TaskKind { return w.kind }

// Key names what it is done to.
func (w Task) Key() uint64 { return w.key }

// Valid tells whether it was let in.
func (w Task) Valid() bool { return w.kind != noTaskKind }

// Partitions says into how many duties each kind of work is divided. All routers that share must say the same.
type Partitions struct{ Refresh, HealthChecks int }

// Count is how many duties there are.
func (s Partitions) Count() int { return s.Refresh + s.HealthChecks }

// LeaseOf finds the duty that a piece of work belongs to.
func (s Partitions) LeaseOf(w Task) (ID, bool) {
	switch {
	case w.kind == Refresh && s.Refresh > 0:
		return ID(hash.Combine(w.key, 0) % uint64(s.Refresh)), true
	case w.kind == HealthCheck && s.HealthChecks > 0:
		return ID(s.Refresh) + ID(hash.Combine(w.key, 0)%uint64(s.HealthChecks)), true
	}
	return 0, false
}
