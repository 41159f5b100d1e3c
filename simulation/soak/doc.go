// Package soak runs router processes on loopback under a load while a script injects faults into the routers, the
// caches and the discovery server. It checks the five rules of simulation/invariants against the events that the
// clients and the caches observe. The script is drawn from a seed; the run is on real time, so that two runs of a
// seed differ in their details.
//
// recorder.go passes events to the checker, script.go draws a script, environment.go has the caches and the
// discovery servers, clients.go has the clients, router.go starts and ends processes, and run.go runs one seed.
package soak
