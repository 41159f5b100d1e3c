// Package testserver provides simple servers and clients that communicate with routers over loopback: caches,
// parents and the origin, the discovery server, clients, and a relay for the datagrams between routers. They
// implement the platform's protocols for tests, experiments and the example.
//
// A Zone contains all of these servers, and starts routers as processes. An OwnershipProbe asks the routers which
// keys they own; a QueryClient queries their records of cached objects. FleetRun runs such a zone while routers are
// killed and paused; MeasureFootprint measures the resources of one router with many endpoints and peers.
//
// The methods of caches, clients, the discovery server, the relay (except Forward and Close) and OwnershipProbe
// may be called from any goroutine. A Zone and a QueryClient are not safe for concurrent use. The caller must close
// each server, client and zone with Close, and end each Process with Kill or Terminate. Errors come from system
// calls, from the configuration, or from routers that do not start.
package testserver
