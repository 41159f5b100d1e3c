// Package service runs a router: it joins the client front end, the routing decisions, the attempts and the endpoint
// watch, and keeps what belongs to the requests in hand. It makes no routing decision.
//
// A request's way through the package, top down:
//
//	requests.go   Arrive: the front end hands a request over; the router is asked about it
//	attempts.go   Forward: the router's plan becomes an attempt at an endpoint
//	attempts.go   AttemptEnded, attemptTimedOut: the attempt's end is queued for the router
//	results.go    deliverResults: the router gets it, and retries, rejects, fails or releases the request
//
// server.go starts a router, reload.go applies changed files, shutdown.go drains it. loop.go is the one timer loop.
//
// Invariants: everything but Server's methods runs under the engine's lock. The router's clock is set before each of
// its calls. The router is never called from within one of its own calls: results wait until the callback ends.
package service
