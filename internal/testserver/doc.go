// Package testserver provides simple servers and clients that communicate with routers over loopback: caches,
// parents and the origin, the discovery server, clients, and a relay for the datagrams between routers. They
// implement the platform's protocols for tests, experiments and the example.
//
// A Zone contains all of these servers, and starts routers as processes. FleetRun runs such a zone while routers are
// killed and stopped; MeasureFootprint measures the resources of one router with many endpoints and peers.
//
// The methods of caches, clients, the discovery server, the relay (except Forward and Close) and OwnershipProbe
// may be called from any goroutine. A Zone and a QueryClient are not safe for concurrent use. The caller must call
// Close, or Kill or Terminate for a Process. Errors come from system calls, from the configuration, or from
// routers that do not start.
package testserver
