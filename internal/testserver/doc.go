// Package testserver provides simple servers and clients that communicate with routers over loopback: caches,
// parents and the origin, the discovery server, clients, and a relay for the datagrams between routers. They
// implement the platform's protocols for tests, experiments and the example.
//
// A Zone contains all of them for a number of routers, which it starts as processes. FleetRun runs such a zone
// while routers are killed and stalled; MeasureFootprint measures one router with many endpoints and peers.
//
// The methods of caches, clients, the discovery server, the relay and OwnershipProbe may be called from any
// goroutine. A Zone and a QueryClient are not safe for concurrent use. The caller must call Close, or Kill or
// Terminate for a Process. Errors are those of system calls, of the configuration, or of routers that do not start.
package testserver
