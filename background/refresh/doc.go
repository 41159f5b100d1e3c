// Package refresh keeps track of the cached copies that are worth refreshing ahead: before their fresh time ends. Each
// router learns from the requests it answers how old the copies are that answered them, and passes what is worth a
// refresh on to the router that holds the lease for it. It is free of I/O and clocks: time, copies and datagrams go in,
// datagrams and refreshes come out through the Executor, within the call.
//
// ObserveCopy reports a copy that answered a request and is worth a fill. Receive takes a datagram of a peer,
// LeaseAcquired says that a lease is this router's from now on, Tick sends what is queued.
//
// A copy is reported once for each of its fresh times, to the holder of its lease alone. Its refresh is due before the
// last fifth of its fresh time, where caches begin to revalidate by themselves behind requests.
package refresh
