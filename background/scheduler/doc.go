// Package scheduler decides which background job runs next, when, and how much background work runs at all. Requests
// come first: all background work yields at once when requests are under pressure. It is free of I/O and clocks: the
// time comes in as an argument.
//
// New makes a Scheduler. Submit hands a job in. Next, called often, gives the job to be run now, after asking where
// it would go; Ended reports how it ended. SetPressure sets whether requests are late, limits have been cut or the
// router is overloaded. Sweep is called now and then.
//
// Among classes the highest priority goes first, and a class that has waited long rises; within a class the earliest
// due job goes first. A job runs only within the budget of its class and of each resource on its route (budgets.go).
// A job past its use is dropped and counted. A failed job backs off, and many failures open the class's breaker
// (breaker.go).
package scheduler
