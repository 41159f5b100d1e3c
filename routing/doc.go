// Package routing makes every decision about a request: which cache serves it, which source fills a cache
// miss, how old a cached copy may be, and whether the request is queued, retried or rejected. It performs
// no I/O, reads no clock and starts no goroutine. internal/service runs it in the router process,
// internal/simadapter in a simulator.
//
// # Calling convention
//
// New creates a Router. Before each event the caller sets the time with SetTime; then it reports the
// event with one of UpdateEndpoints, EndpointWatchLost, RequestArrived, AttemptEnded, ResponseStarted,
// ClientLeft, GiveUp, Purged, CopyLocated, InitRequestGap, SetFleetSize, HealthChecked and TimerFired. The
// Router calls its Executor during such a call and at no other time. A Router is not safe for concurrent
// use: the caller must serialize all calls. PlanBackground also depends on the time of the last SetTime.
//
// # Terms
//
// A cache is an endpoint of tier Edge. The caches in the router's own zone serve its requests, and fill
// from parents, which all zones share, from the origin or from each other. Another cache of the zone is
// a sibling. A fill passes a copy from any source to a cache, which may keep it. A fetch is a request to
// the origin, by a cache or a parent.
//
// The hash order of an object is the rendezvous hash order of the caches or the parents for the object's
// key. All routers with the same endpoint list compute the same order.
//
// The sending time of a request is how long it takes to send its answer, without any waiting. It
// measures load: sending time per second is the average number of answers being sent at once.
//
// An endpoint is in slow start for some time after its start, and warm afterward.
//
// # Steps of a decision
//
// The methods RequestArrived, dispatch, plan, forward and AttemptEnded in request.go perform these steps.
// states.go defines the states that a request passes through.
//
//  1. Arrival: estimate the sending time, set the latency objective, consume the tenant's quota
//     (request.go, sendtime.go, admission.go).
//  2. Freshness: choose the accepted age of a copy and the retention rank of a fill (freshness.go).
//  3. Cache: take the first cache in hash order that has capacity (cache_selection.go).
//  4. Bypass: use a parent or the origin if no cache of the zone can be used (cache_selection.go).
//  5. Source: choose a sibling's copy, the quicker parent, the origin, or no source (source_selection.go).
//  6. Purges: accept no copy that is older than the last purge (purges.go).
//  7. Queue: wait if nothing has capacity and the objective can still be met, but never beyond the key window
//     of a keyed request that may have run (queueing.go).
//  8. Result: update endpoints, limits and object statistics (outcomes.go, outliers.go).
//  9. Retry, or give a final answer that says whether the client may try again (retries.go).
//
// Steps 3 to 5 respect the concurrency limits (admission.go), skip ejected endpoints (outliers.go) and
// limit the load of endpoints that have just started (slowstart.go). Background refreshes take the same
// steps but yield to requests (refresh.go).
//
// # Invariants
//
// Each request gets exactly one final answer: the answer of a successful attempt, or a call of
// Executor.Reject or Executor.Fail. Only a request whose client leaves before the answer gets none. A
// non-idempotent request is never sent again once an attempt may have run. The capacity that an attempt
// occupies in the limits is released when the attempt ends. The common case, a request answered by one
// cache hit, allocates no memory.
//
// The learned freshness implements Algorithm 1 of "Model-Based and Model-Free Learning-Based Caching for
// Dynamic Content"; docs/design.md lists where it departs from the paper.
package routing
