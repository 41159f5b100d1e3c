package routing

import (
	"log/slog"
	"testing"
)

// nullExecutor ignores decisions and stores only the id of the last request.
type nullExecutor struct{ last RequestID }

func (e *nullExecutor) IDAssigned(id RequestID)                { e.last = id }
func (*nullExecutor) Forward(RequestID, ForwardPlan)           {}
func (*nullExecutor) Reject(RequestID, Micros)                 {}
func (*nullExecutor) Fail(RequestID)                           {}
func (*nullExecutor) Release(RequestID)                        {}
func (*nullExecutor) SetTimer(Micros)                          {}
func (*nullExecutor) WatchEndpoints()                          {}
func (*nullExecutor) LocateCopies(RequestID)                   {}
func (*nullExecutor) Log(string, ...slog.Attr)                 {}
func (*nullExecutor) SuggestRefresh(RequestID, Micros, Micros) {}

var quickHit = AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms}

// The common request, with a single attempt, must not allocate memory.
func TestOrdinaryRequestAllocatesNothing(t *testing.T) {
	r, executor := newFakeExecutor(plainPermissions).router, &nullExecutor{}
	r.executor = executor
	req := videoRequest(1)
	allocations := testing.AllocsPerRun(1000, func() {
		r.now += 20 * ms
		r.RequestArrived(req)
		r.AttemptEnded(executor.last, quickHit)
	})
	if allocations != 0 {
		t.Fatalf("%v allocations per request, want 0", allocations)
	}
}

// BenchmarkOrdinaryRequest measures a request with a single attempt.
func BenchmarkOrdinaryRequest(b *testing.B) {
	r, executor := newFakeExecutor(plainPermissions).router, &nullExecutor{}
	r.executor = executor
	req := videoRequest(1)
	b.ReportAllocs()
	for i := range b.N {
		req.Object = ObjectID(i%512) * 0x9e3779b97f4a7c15
		r.now += 2 * ms
		r.RequestArrived(req)
		r.AttemptEnded(executor.last, quickHit)
	}
}
