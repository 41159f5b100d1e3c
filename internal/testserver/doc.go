// Package testserver has simple servers and clients for a router to talk to over loopback: caches, parents and the
// origin, the discovery server, clients, and a relay for the datagrams between routers. They speak the platform's
// protocols, for tests, experiments and the example.
//
// A Zone has all of them for some routers, which it starts as processes. FleetRun runs such a zone through deaths and
// stalls of routers; MeasureLarge measures one router with many endpoints and peers.
//
// The methods of caches, clients, the discovery server, the relay and OwnershipProbe may be called from any
// goroutine; a Zone and a QueryClient belong to one. What is started is to be ended by its Close, a Process by Kill
// or Terminate. Errors are those of the system calls, the configuration or the routers that do not start.
package testserver
