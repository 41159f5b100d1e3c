// Package service runs a router. It connects the client front end, the routing decisions, the attempts and the
// endpoint watch, and owns the state of open requests. All routing decisions are made by package routing.
//
// In the comments of this package, the Router is the routing.Router, and a router is the whole process.
//
// A request passes through these methods of proxy:
//
//	requests.go   StartRequest: the front end passes on a request, which is reported to the routing.Router
//	attempts.go   Forward: the Router's plan becomes an attempt at an endpoint
//	attempts.go   AttemptEnded, attemptTimedOut: the attempt's result is queued
//	results.go    deliverResults: the Router receives the result, and retries, rejects, fails or releases the request
//
// server.go starts a router, reload.go applies changed files, and shutdown.go drains the router. loop.go contains
// the only timer loop.
//
// Invariants:
//   - All code runs under the engine's lock, except the methods of Server and drain, and proxy.run and proxy.turn,
//     which take the lock themselves.
//   - setRouterTime is called before each call of the Router.
//   - The Router is never called from within one of its own calls: results are queued until the engine's callback
//     ends.
package service
