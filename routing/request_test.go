package routing

import "testing"

// nullExecutor takes results and keeps only the last request.
type nullExecutor struct{ last RequestID }

func (s *nullExecutor) Accepted(v RequestID)                   { s.last = v }
func (*nullExecutor) Forward(RequestID, ForwardPlan)           {}
func (*nullExecutor) Reject(RequestID, Micros)                 {}
func (*nullExecutor) Fail(RequestID)                           {}
func (*nullExecutor) Release(RequestID)                        {}
func (*nullExecutor) SetTimer(Micros)                          {}
func (*nullExecutor) WatchEndpoints()                          {}
func (*nullExecutor) LocateCopies(RequestID)                   {}
func (*nullExecutor) Log(string, ...Field)                     {}
func (*nullExecutor) SuggestRefresh(RequestID, Micros, Micros) {}

// The ordinary request, with its one attempt, allocates nothing.
func TestOrdinaryRequestAllocatesNothing(t *testing.T) {
	fake, s := newFake(plainPermissions), &nullExecutor{}
	fake.router.executor = s
	a := videoRequest(1)
	if n := testing.AllocsPerRun(1000, func() {
		fake.router.now += 20 * ms
		fake.router.RequestArrived(a)
		fake.router.AttemptEnded(s.last, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms})
	}); n != 0 {
		t.Fatalf("%v allocations a visit", n)
	}
}

// BenchmarkOrdinaryRequest takes the time of a request and its one attempt.
func BenchmarkOrdinaryRequest(b *testing.B) {
	fake, s := newFake(plainPermissions), &nullExecutor{}
	fake.router.executor = s
	a := videoRequest(1)
	b.ReportAllocs()
	for i := range b.N {
		a.Object = ObjectID(i%512) * 0x9e3779b97f4a7c15
		fake.router.now += 2 * ms
		fake.router.RequestArrived(a)
		fake.router.AttemptEnded(s.last, AttemptResult{Outcome: Succeeded, CacheStatus: Hit, RequestDone: true, Elapsed: 10 * ms})
	}
}
