package scheduler

import (
	"math"

	"threadrun/internal/clock"
	"threadrun/internal/ratelimit"
)

const (
	maxAccounts     = 512              // number of accounts above which idle ones are removed
	accountIdleTime = 2 * clock.Second // time without use after which an account may be removed
	burstSeconds    = 1.0              // seconds of a budget that may be used at once
)

// resourceKind is a kind of resource on a route.
type resourceKind uint8

const (
	cacheResource resourceKind = iota
	parentResource
	linkResource
	originResource
	resourceKinds // the number of kinds
)

// resource identifies a resource that has an account.
type resource struct {
	kind resourceKind
	id   int32
}

// account records the use of one budget.
type account struct {
	operations, kb ratelimit.Bucket
	running        int
	lastUsed       Micros
}

// budgetsByKind returns path budgets indexed by the kind of resource.
func budgetsByKind(p PathBudgets) [resourceKinds]Budget {
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

// waitFor returns how long a job must wait until the budgets of its class and of all resources on its route permit
// it.
func (s *Scheduler) waitFor(c *class, job *queuedJob, route Route) Micros {
	wait := c.account.shortfall(s.now, c.Budget, job.SizeKB)
	route.eachResource(func(p resource) {
		budget := s.budgets[p.kind]
		a := s.account(p)
		wait = max(wait, a.shortfall(s.now, budget, job.SizeKB))
		if budget.Concurrent > 0 && a.running >= budget.Concurrent {
			wait = max(wait, postponeDelay)
		}
	})
	return wait
}

// account returns the account of a resource, and creates it if necessary.
func (s *Scheduler) account(p resource) *account {
	if a := s.accounts[p]; a != nil {
		return a
	}
	if len(s.accounts) >= maxAccounts {
		s.dropIdleAccounts()
	}
	a := &account{}
	s.accounts[p] = a
	return a
}

func (s *Scheduler) dropIdleAccounts() {
	for p, a := range s.accounts { // iteration order does not matter, because each account is checked on its own
		if a.running == 0 && s.now-a.lastUsed > accountIdleTime {
			delete(s.accounts, p)
		}
	}
}

// reserve charges a starting job to all its accounts.
func (s *Scheduler) reserve(c *class, job *queuedJob, route Route) {
	enter := func(a *account) {
		a.running++
		a.lastUsed = s.now
		a.operations.Take(1)
		a.kb.Take(job.SizeKB)
	}
	enter(&c.account)
	route.eachResource(func(p resource) { enter(s.account(p)) })
}

// release removes a job that has ended from the running jobs of its accounts.
func (s *Scheduler) release(c *class, job *queuedJob) {
	c.account.running--
	job.route.eachResource(func(p resource) { s.account(p).running-- })
}

// shortfall returns how long to wait until a budget permits a job of sizeKB. A job larger than the burst may run
// when the burst is available.
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

func fromSeconds(seconds float64) Micros { return Micros(math.Ceil(seconds * float64(clock.Second))) }
