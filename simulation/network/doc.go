// Package network simulates a network in memory on virtual time: hosts with their clocks, connections that are written
// and read in parts, datagrams, and faults of all of them. It implements transport.Runtime, so that the router's own
// code runs on it.
//
// A World holds hosts and runs their events in the order of time. Host.Start starts a process and returns its Runtime.
// Nothing blocks and no goroutine is started: the same seed gives the same history, whose hash is World.Hash. A World
// is not safe for concurrent use.
package network
