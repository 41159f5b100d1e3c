// Package routing decides what becomes of each request: the cache that serves it, the source that fills a
// miss, how old a copy may be, whether it is queued, retried or rejected. It has no I/O, no clock and no
// goroutine.
//
// # How it is called
//
// New makes a Router. Before each event SetTime sets the time; then one of UpdateEndpoints,
// EndpointWatchLost, RequestArrived, AttemptEnded, ResponseStarted, ClientLeft, Purged, CopyLocated,
// LearnGap, SetFleetSize, HealthChecked and TimerFired reports what happened. The Router calls its Executor
// within that call and at no other time. A Router is used by one goroutine at a time.
//
// # The order in which a request is decided
//
// request.go has the steps as code: RequestArrived, dispatch, plan, forward, AttemptEnded. states.go has
// the states that a request passes through.
//
//  1. arrival: sending time, latency objective, tenant quota (request.go, sendtime.go, admission.go)
//  2. freshness: the accepted age of a copy, and the rank at which a fill is kept (freshness.go)
//  3. cache: by the hash of the object, the next one where that has no capacity (cache_selection.go)
//  4. bypass to a parent or the origin, where no cache of the zone is up (cache_selection.go)
//  5. source: the quicker parent, the origin, a sibling's copy, or none (source_selection.go)
//  6. purges: no copy from before the last one (purges.go)
//  7. queue, where nothing has capacity and the objective can still be met (queueing.go)
//  8. result: what it says of endpoints, limits and copies (outcomes.go, outliers.go)
//  9. retry, or a final answer that says whether the client may try again (retries.go)
//
// Steps 3 to 5 keep to limits on what is in flight (admission.go), pass over ejected endpoints
// (outliers.go) and spare those that have just started (slowstart.go). Background refreshes go through the
// same steps and give way to requests (refresh.go).
//
// # Invariants
//
// Each request gets one final answer: the answer of an attempt that succeeded, or one of Executor.Reject
// and Executor.Fail. A non-idempotent request is never sent again once an attempt may have run. What an
// attempt holds of limits is given back when it ends. The ordinary request, one hit at its cache, allocates
// nothing.
//
// The learned freshness follows Algorithm 1 of "Model-Based and Model-Free Learning-Based Caching for
// Dynamic Content"; docs/design.md tells where it departs from it.
package routing
