// Package network simulates a network in memory on virtual time: hosts with wall clocks, stream connections that
// transmit data in segments, datagrams, and faults of hosts and links. It implements transport.Runtime, so that the
// router's own code runs on it.
//
// A World holds the hosts and runs all events in order of time. Host.Start starts a process and returns its Runtime.
// Nothing blocks and no goroutine is started, and all random values are drawn from one seeded source. The same seed
// and the same calls therefore produce the same sequence of events; World.Hash returns a hash of this sequence. A World
// is not safe for concurrent use.
package network
