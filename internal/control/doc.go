// Package control runs the goroutine that owns the cluster state: membership, leases, the shard map and the
// directory of cached objects. It calls the cluster packages that compute this state, called cores here: it passes
// the time and received datagrams to them, and sends the datagrams that they produce.
//
// Only this goroutine uses the cores. The rest of the router, called request handling here, runs under the service's
// lock and communicates with the goroutine in three ways: it reads an immutable Snapshot, which each tick publishes
// through an atomic pointer; it receives Messages from TakeMessages; and its calls of the other methods are stored in
// queues until the next tick. The lock of these queues is never held while a core runs, so that no request ever waits
// for this package.
//
// The package also saves the records of the directory to snapshot files (package snapshot), which are unrelated to the
// type Snapshot.
package control
