// Package control runs the one goroutine that owns what routers agree on: membership, leases, the shard map and the
// directory of cached objects. It gives the cluster cores their clock and carries their datagrams.
//
// Only that goroutine touches the cores. Traffic reads an immutable Snapshot, published after each tick and swapped
// whole, and takes the Messages meant for it when it has time; what traffic hands in waits in bounded queues until the
// next tick. No request ever waits for this package.
package control
