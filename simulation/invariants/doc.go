// Package invariants checks whether routers keep the five rules, from what clients, caches and discovery see. It does
// no I/O: a Checker observes one stream of events and reports each violation with the events that prove it.
//
//	rule 1  one final answer for each request, in time, and nothing after it (answers.go)
//	rule 2  no effect happens twice, no overlapping attempts unless allowed (effects.go)
//	rule 3  nothing new to an endpoint that drains, also as a fill source (drains.go)
//	rule 4  no restarted cache or parent is overloaded (slowstart.go)
//	rule 5  no answer from a copy older than a purge (purges.go)
//
// Routers are not trusted to report on themselves: each event is reported by the router's counterpart.
package invariants
