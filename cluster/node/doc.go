// Package node is one router's part in the cluster: who is a member, who proposes the shard map, the map
// itself, and the directory, recovery and queries that rest on it. It joins the cores of the other cluster
// packages and hands each of them the time, the datagrams of its kind and what the others have found out,
// always in the same order.
//
// How it is called: New makes the part of a router that has just started, with the features that its settings
// name. Tick is called some tens of times a second, Receive with each datagram, Leave once the router is to
// shut down. What comes out goes to Output, which is called only from within these calls.
//
// Invariants: there is no I/O, no clock and no goroutine here, so a node behaves alike on sockets and in
// simulations. All calls come from one goroutine.
package node
