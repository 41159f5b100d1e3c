// Package network is a network in memory on virtual time: hosts with their clocks, connections that are written and
// read in parts, datagrams, and the faults of all of them. It implements transport.Runtime, so that the router's own
// code runs on it.
//
// A World holds hosts and runs their events in the order of time; Host.Start begins a process and gives its Runtime.
// Nothing waits and there is no goroutine: one seed is one history, and World.Hash tells whether two are the same. A
// World is not safe for concurrent use.
package network
