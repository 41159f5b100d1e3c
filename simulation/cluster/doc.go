// Package cluster simulates a cluster of routers on virtual time, at sizes that real processes don't reach. The cores
// of the routers are the real ones. The network between them, their clocks and their tasks are simulated.
//
// New returns a cluster. Options and workloads are set before the first event, then Run runs the events up to a given
// time. The audits (leases, shard maps, queries) and the workload see the state of all routers at once.
//
// The simulation has one goroutine and one source of random numbers: the same seed gives the same events.
package cluster
