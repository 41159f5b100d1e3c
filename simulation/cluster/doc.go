// Package cluster simulates a cluster of routers on virtual time, at sizes that sockets do not reach. The cores of the
// routers are the real ones; the network between them, their clocks and their work are simulated.
//
// New makes a cluster, options and workloads are set before the first event, and Run plays until a time. The audits
// (leases, shard maps, queries) and the workload count as an observer does who sees all routers.
//
// The simulation has one goroutine and one source of random numbers: the same seed gives the same run, event by event.
package cluster
