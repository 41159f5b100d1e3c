package scheduler

import (
	"math"

	"threadrun/internal/clock"
	"threadrun/internal/ratelimit"
)

const (
	maxAccounts     = 512              // number of accounts at which idle ones are removed before another is created
	accountIdleTime = 2 * clock.Second // time since the last start of a job after which an account may be removed
	burstSeconds    = 1.0              // seconds of a budget that may be used at once
)

// resourceKind is a kind of resource on a route.
type resourceKind uint8

const (
	cacheResource resourceKind = iota
	parentResource
	linkResource
	originResource
	resourceKinds // number of kinds
)

// resource identifies a resource that has an account.
type resource struct {
	kind resourceKind
	id   int32 // Route.Cache or Route.Parent; 0 for the link and the origin
}

// account records the use of one budget, which is that of a class or of a resource.
type account struct {
	operations, kb ratelimit.Bucket // what may be used now; a job larger than the burst makes kb negative
	running        int              // number of running jobs
	lastUsed       Micros           // when a job last started; 0: not yet
}

// budgetsByKind returns path budgets indexed by the kind of resource.
func budgetsByKind(p ResourceBudgets) [resourceKinds]Budget {
	return [resourceKinds]Budget{
		cacheResource:  p.Cache,
		parentResource: p.Parent,
		linkResource:   p.Link,
		originResource: p.Origin,
	}
}

// eachResource calls f for each resource of a route.
func (r Route) eachResource(f func(resource)) {
	if r.Cache >= 0 {
		f(resource{cacheResource, r.Cache})
	}
	if r.Parent >= 0 {
		f(resource{parentResource, r.Parent})
	}
	if r.Link {
		f(resource{linkResource, 0})
	}
	if r.Origin {
		f(resource{originResource, 0})
	}
}

// budgetWait returns how long a job must wait until the budgets of its class and of all resources on its route
// permit it. While a resource has its maximum number of concurrent jobs, whose end is unknown, the wait is at least
// postponeDelay. The class's own concurrency was checked by canStart.
func (s *Scheduler) budgetWait(c *class, job *queuedJob, route Route) Micros {
	wait := c.account.shortfall(s.now, c.Budget, job.SizeKB)
	route.eachResource(func(r resource) {
		budget := s.budgets[r.kind]
		a := s.account(r)
		wait = max(wait, a.shortfall(s.now, budget, job.SizeKB))
		if budget.Concurrent > 0 && a.running >= budget.Concurrent {
			wait = max(wait, postponeDelay)
		}
	})
	return wait
}

// account returns the account of a resource, and creates it if necessary. The buckets of a new account are empty;
// shortfall refills them.
func (s *Scheduler) account(r resource) *account {
	if a := s.accounts[r]; a != nil {
		return a
	}
	if len(s.accounts) >= maxAccounts {
		s.dropIdleAccounts()
	}
	a := &account{}
	s.accounts[r] = a
	return a
}

// dropIdleAccounts removes the accounts that have no running job and were not used recently.
func (s *Scheduler) dropIdleAccounts() {
	for r, a := range s.accounts { // iteration order does not matter, because each account is checked on its own
		if a.running == 0 && s.now-a.lastUsed > accountIdleTime {
			delete(s.accounts, r)
		}
	}
}

// consumeBudgets consumes a starting job's share of the budgets of its class and of all resources on its route.
func (s *Scheduler) consumeBudgets(c *class, job *queuedJob, route Route) {
	consume := func(a *account) {
		a.running++
		a.lastUsed = s.now
		a.operations.Take(1)
		a.kb.Take(job.SizeKB)
	}
	consume(&c.account)
	route.eachResource(func(r resource) { consume(s.account(r)) })
}

// releaseConcurrency removes a job that has ended from the running jobs of its accounts. The operation and the KB
// that it has consumed are not given back.
func (s *Scheduler) releaseConcurrency(c *class, job *queuedJob) {
	c.account.running--
	job.route.eachResource(func(r resource) { s.account(r).running-- })
}

// shortfall returns how long to wait until the rates of a budget permit a job of sizeKB, or 0. A job larger than
// the burst may run when the whole burst is available; the account is then negative, and the following jobs wait
// longer.
func (a *account) shortfall(now Micros, b Budget, sizeKB float64) Micros {
	wait := Micros(0)
	seconds := now.Seconds()
	if b.OperationsPerSecond > 0 {
		burst := math.Max(b.OperationsPerSecond*burstSeconds, 1)
		if available := a.operations.Refill(seconds, b.OperationsPerSecond, burst); available < 1 {
			wait = fromSeconds((1 - available) / b.OperationsPerSecond)
		}
	}
	if b.KBPerSecond > 0 {
		burst := b.KBPerSecond * burstSeconds
		needed := math.Min(sizeKB, burst)
		if available := a.kb.Refill(seconds, b.KBPerSecond, burst); available < needed {
			wait = max(wait, fromSeconds((needed-available)/b.KBPerSecond))
		}
	}
	return wait
}

// fromSeconds converts seconds, rounding up so that the budget suffices after the wait.
func fromSeconds(seconds float64) Micros { return Micros(math.Ceil(seconds * float64(clock.Second))) }
