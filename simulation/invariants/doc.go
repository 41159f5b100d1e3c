// Package invariants checks whether routers keep the five rules, from what clients, caches and discovery see. It is
// free of I/O: a Checker takes one stream of events and reports each violation together with the events that prove it.
//
//	rule 1  one final answer per request, in time, and nothing after it (answers.go)
//	rule 2  no effect twice, no overlapping attempts unless allowed (effects.go)
//	rule 3  nothing new to an endpoint that drains, also as a fill source (drains.go)
//	rule 4  no restarted cache or parent is overloaded (slowstart.go)
//	rule 5  no copy from before a purge (purges.go)
//
// What a router says of itself proves nothing: each event is reported by the other side of what happened.
package invariants
