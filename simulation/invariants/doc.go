// Package invariants checks whether routers keep the five rules, given what clients, caches and discovery observe. It
// does no I/O: a Checker observes one stream of events and records each violation with the events that prove it.
//
//	rule 1  one final answer for each request, in time, and no attempt after it (answers.go)
//	rule 2  no effect happens twice; attempts overlap only if hedging is allowed (effects.go)
//	rule 3  no new attempt at an endpoint that drains, and no fill from it (drains.go)
//	rule 4  no restarted cache or parent is overloaded (slowstart.go)
//	rule 5  no answer from a copy older than a purge (purges.go)
//
// A router's own account is not trusted: each event is reported by the client, the machine or the discovery server
// with which the router communicates, or by the test environment that injects faults.
package invariants
