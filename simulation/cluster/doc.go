// Package cluster is a discrete-event simulation of a cluster of routers on virtual time, at sizes that can't be run
// as real processes. The cores of the routers (membership, leases, shard maps, queries, recovery) are the production
// code. The network between the routers, their clocks and their tasks are simulated.
//
// New returns a cluster. Options and workloads are set before the first event, then Run runs the events up to a given
// time. The audits (leases, shard maps, queries) and the workload read the state of all routers at once.
//
// A simulation runs in one goroutine and draws from one source of random numbers, so that a run is reproducible: the
// same seed gives the same events. A change to the order of the draws changes what each seed runs.
package cluster
