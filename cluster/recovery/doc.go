// Package recovery restores a router's state after a restart, step by step, from the records that other routers
// hold.
//
// Usage: New returns the Manager of a router that has just started; Restore adds the saved state of its previous
// incarnation, if there is one. Call Tick some tens of times per second, and Receive for each datagram. Permissions
// says what the router may do in its current state. The package performs no I/O, reads no clock and starts no
// goroutine; a Manager is not safe for concurrent use, and it calls Output only during these calls. The caller is
// cluster/node.
//
// States (state.go): a router waits until it knows which routers are present, fetches records from them, adds those
// of its saved state that it has not fetched, and waits for the purges that it has missed. If no other router is
// present, it uses its saved state, and fetches records only if one joins soon.
//
// Fetching (fetch.go): all routers have observed much the same objects themselves. Therefore the keys are divided
// into slices by hash, and each slice is requested from another router, in random order; if a router has no records
// or does not answer, its slice is requested from one that has served records. The records that a router stores for
// others exist almost nowhere else, so every router is asked for those. Routers whose clocks say that they started
// earlier than this one are asked first. This is only a hint, because clocks need not agree: a router that has just
// restarted, too, has no records and says so in one datagram. Several requests are in flight at a time, and the
// most requested records are sent first.
//
// Limits (serve.go): a router that receives too many requests defers them to a later time, so that hundreds of
// restarted routers do not overload the few others. No router waits indefinitely: after a timeout it continues with
// the records it has. A recovered record only initializes a router's own estimates.
package recovery
