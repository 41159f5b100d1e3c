package lease

import (
	"errors"
	"testing"
)

// NewTask must reject non-idempotent tasks and unknown kinds, and the zero task must be invalid, because two
// routers may run the tasks of one lease. Every kind must state what a repeat costs, and have its own range of
// leases.
func TestOnlyIdempotentTasks(t *testing.T) {
	for kind := TaskKind(0); kind < 10; kind++ {
		if task, err := NewTask(kind, 1, false); !errors.Is(err, ErrNotIdempotent) || task.Valid() {
			t.Errorf("kind %d: non-idempotent task %+v with error %v, want no valid task and %v", kind, task, err,
				ErrNotIdempotent)
		}
		task, err := NewTask(kind, 1, true)
		known := kind == Refresh || kind == HealthCheck
		if known != (err == nil) || known != task.Valid() || known && kind.RepeatCost() == "" {
			t.Errorf("kind %d: the task is valid: %v, error %v, cost of a repeat %q; the kind is known: %v", kind,
				task.Valid(), err, kind.RepeatCost(), known)
		}
	}
	if (Task{}).Valid() {
		t.Error("the zero task is valid")
	}
	counts := Counts{Refresh: 10, HealthChecks: 5}
	for key := range uint64(200) {
		refresh, _ := NewTask(Refresh, key, true)
		healthCheck, _ := NewTask(HealthCheck, key, true)
		if id, ok := counts.LeaseOf(refresh); !ok || id >= 10 {
			t.Fatalf("a refresh has lease %d (%v), want one in [0, 10)", id, ok)
		}
		if id, ok := counts.LeaseOf(healthCheck); !ok || id < 10 || id >= 15 {
			t.Fatalf("a health check has lease %d (%v), want one in [10, 15)", id, ok)
		}
	}
	if _, ok := counts.LeaseOf(Task{}); ok {
		t.Error("the zero task has a lease")
	}
}
