// Package service runs a router. It connects the client front end, the routing decisions, the attempts and the
// endpoint watch, and owns the state of open requests. It makes no routing decisions itself.
//
// How a request passes through the package:
//
//	requests.go   StartRequest: the front end passes a request, which is reported to the router
//	attempts.go   Forward: the router's plan becomes an attempt at an endpoint
//	attempts.go   AttemptEnded, attemptTimedOut: the end of the attempt is queued for the router
//	results.go    deliverResults: the router receives it, and retries, rejects, fails or releases the request
//
// server.go starts a router, reload.go applies changed files, shutdown.go drains it. loop.go contains the only
// timer loop.
//
// Invariants: all code runs under the engine's lock, except the methods of Server and drain, and proxy.run and
// proxy.turn. The router's time is set before each call of the router. The router is never called from within one of
// its own calls: results are queued until the callback ends.
package service
