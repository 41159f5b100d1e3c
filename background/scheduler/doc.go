// Package scheduler decides which background job of one router runs next, when it runs, and how much background
// work runs at all. Requests have precedence: all background work yields at once when requests are under pressure.
//
// Usage: New returns a Scheduler, and Submit adds a job. Next, which must be called often, returns the job to run
// now, after asking the caller which route it would take; Ended reports the job's result. SetPressure sets whether
// requests are under pressure, which means that they are late, limits were cut, or the router is overloaded. Call
// Sweep about once per second.
//
// Jobs of the class with the highest priority run first. A class with ready jobs gains priority while none of them
// is started, so that no class starves (scheduler.go). Within a class the job that is due first runs first. A job
// runs only within the budgets of its class and of each resource on its route (budgets.go). Expired jobs are
// dropped and counted. A failed job backs off, and many failures open the class's breaker (breaker.go).
//
// Invariants: a task has at most one job, since a job for a task that already has one is merged with it. A class
// never has more queued jobs than its limit. A job is started only between its NotBefore and its Expires, and never
// while background work yields (pressure.go).
//
// The package performs no I/O, reads no clock and starts no goroutine. A Scheduler is not safe for concurrent use,
// and it calls the functions passed to it only during its own methods. Its caller is internal/backgroundwork.
package scheduler
