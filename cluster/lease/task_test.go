package lease

import (
	"errors"
	"testing"
)

// Only idempotent tasks can be shared: NewTask must reject all others, and nothing else creates valid tasks.
func TestOnlyIdempotentTasks(t *testing.T) {
	for kind := TaskKind(0); kind < 10; kind++ {
		if task, err := NewTask(kind, 1, false); !errors.Is(err, ErrNotIdempotent) || task.Valid() {
			t.Errorf("kind %d: a non-idempotent task was accepted", kind)
		}
		task, err := NewTask(kind, 1, true)
		known := kind == Refresh || kind == HealthCheck
		if known != (err == nil) || known != task.Valid() || known && kind.RepeatCost() == "" {
			t.Errorf("kind %d: %v", kind, err)
		}
	}
	if (Task{}).Valid() {
		t.Error("the zero task is valid")
	}
	partitions := Partitions{Refresh: 10, HealthChecks: 5}
	for key := range uint64(200) {
		refresh, _ := NewTask(Refresh, key, true)
		healthCheck, _ := NewTask(HealthCheck, key, true)
		if id, ok := partitions.LeaseOf(refresh); !ok || id >= 10 {
			t.Fatal("wrong lease of a refresh:", id)
		}
		if id, ok := partitions.LeaseOf(healthCheck); !ok || id < 10 || id >= 15 {
			t.Fatal("wrong lease of a health check:", id)
		}
	}
	if _, ok := partitions.LeaseOf(Task{}); ok {
		t.Error("the zero task has a lease")
	}
}
