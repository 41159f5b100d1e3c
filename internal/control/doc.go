// Package control runs the goroutine that owns the cluster state: membership, leases, the shard map and the
// directory of cached objects. It gives the cluster cores their time and carries their datagrams.
//
// Only this goroutine uses the cores. The rest of the router, called request handling here, runs under the engine's
// lock and communicates with it in three ways: it reads an immutable Snapshot, which is published after each tick by an
// atomic pointer; it receives Messages when it calls TakeMessages; and its own calls are stored in queues until the
// next tick. No request ever waits for this package.
package control
