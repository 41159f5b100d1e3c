// Package refresh tracks the cached copies that are worth refreshing ahead, which means before they become stale.
// Each router learns from the answers to its requests how old the copies are, and reports a copy that is worth
// refreshing to the router that holds its lease. The package performs no I/O, reads no clock and starts no
// goroutine: its caller, internal/backgroundwork, passes in times, copies and datagrams, and receives datagrams and
// refreshes through the Executor.
//
// Usage: ObserveCopy records a copy that answered a request and is worth a refresh, Receive handles a datagram from
// a peer, LeaseAcquired records an acquired lease, and Tick sends queued reports.
//
// A copy is reported once per freshness lifetime, only to the holder of its lease. Its refresh is due before the
// last fifth of its freshness lifetime, in which caches start to revalidate copies themselves when requests arrive.
package refresh
