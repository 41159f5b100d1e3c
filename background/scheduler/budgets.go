package scheduler

import (
	"math"

	"threadrun/internal/clock"
	"threadrun/internal/ratelimit"
)

const (
	maxAccounts     = 512              // resources that accounts are kept for
	accountIdleTime = 2 * clock.Second // an account unused for so long makes room for others
	burstSeconds    = 1.0              // seconds of a budget that may be used at once
)

// resourceKind is a kind of resource on a route.
type resourceKind uint8

const (
	cacheResource resourceKind = iota
	parentResource
	linkResource
	originResource
	resourceKinds // their number
)

// resource names what an account is kept for.
type resource struct {
	kind resourceKind
	id   int32
}

// account is what was used of one budget.
type account struct {
	operations, kb ratelimit.Bucket
	running        int
	lastUsed       Micros
}

// budgetsByKind lists path budgets by the kind of their resource.
func budgetsByKind(p PathBudgets) [resourceKinds]Budget {
	return [resourceKinds]Budget{
		cacheResource:  p.Cache,
		parentResource: p.Parent,
		linkResource:   p.Link,
		originResource: p.Origin,
	}
}

// eachResource lists the resources of a route.
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

// waitFor is how long a job must wait until its class and all resources on its route have budget for it.
func (s *Scheduler) waitFor(c *class, x *queuedJob, r Route) Micros {
	wait := c.account.shortfall(s.now, c.Budget, x.SizeKB)
	r.eachResource(func(p resource) {
		budget := s.budgets[p.kind]
		a := s.account(p)
		wait = max(wait, a.shortfall(s.now, budget, x.SizeKB))
		if budget.Concurrent > 0 && a.running >= budget.Concurrent {
			wait = max(wait, postponeDelay)
		}
	})
	return wait
}

// account finds the account of a resource, or makes one.
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
	for p, a := range s.accounts { // the order does not matter: each goes by its own age
		if a.running == 0 && s.now-a.lastUsed > accountIdleTime {
			delete(s.accounts, p)
		}
	}
}

// reserve enters a job that starts in the accounts it counts in.
func (s *Scheduler) reserve(c *class, x *queuedJob, r Route) {
	enter := func(a *account) {
		a.running++
		a.lastUsed = s.now
		a.operations.Take(1)
		a.kb.Take(x.SizeKB)
	}
	enter(&c.account)
	r.eachResource(func(p resource) { enter(s.account(p)) })
}

// release takes a job that has ended out of what runs in its accounts.
func (s *Scheduler) release(c *class, x *queuedJob) {
	c.account.running--
	x.route.eachResource(func(p resource) { s.account(p).running-- })
}

// shortfall is how long until a budget has room for a job of so many KB. A job larger than a second's bytes goes once a
// second's bytes are there.
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
