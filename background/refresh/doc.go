// Package refresh tracks the cached copies that are worth refreshing ahead, which means before they become stale.
// Each router learns from the answers to its requests until when copies are fresh, and reports a copy that is worth
// refreshing to the router that holds the lease of the copy's refresh task, so that only one router refreshes it.
//
// Usage: ObserveCopy records a copy that answered a request and is worth a refresh, Receive handles a datagram from
// a peer, LeaseAcquired handles an acquired lease, and Tick sends queued reports.
//
// A copy is handled once per freshness lifetime: it is either scheduled for a refresh, if this router holds the
// lease, or reported to the router that does. Its refresh is due before the last fifth of its freshness lifetime,
// in which caches start to revalidate copies themselves when requests arrive.
//
// Possible losses: reports are sent once, without acknowledgment. A report that is lost, dropped because the queue
// was full, or received by a router that does not hold the lease is not repeated. The copy is then not refreshed
// ahead in this freshness lifetime, unless another router reports it or the lease moves to a router that tracks it.
//
// The package performs no I/O, reads no clock and starts no goroutine. Its caller, internal/backgroundwork, passes
// in times, copies and datagrams, and receives datagrams and refreshes through the Executor.
package refresh
