// Package node is one router's participant in the cluster. It combines the state machines of other cluster packages,
// which it calls cores: membership, the estimate of the fleet size, the shard map and the lease of its proposer, and
// the directory, recovery and queries that depend on them. It passes each core the time, the datagrams of its kind
// and the results of other cores, always in the same order.
//
// Usage: New returns the Node of a router that has just started, with the features that its settings enable. Call
// Tick some tens of times per second, Receive for each datagram, and Leave before the router shuts down. Output
// receives the results.
//
// Invariants: the package performs no I/O, reads no clock and starts no goroutine, so that a Node behaves the same
// in the service, where internal/control calls it, and in simulations. A Node is not safe for concurrent use. It
// calls Output only during calls of its own methods.
package node
