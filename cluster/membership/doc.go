// Package membership maintains the list of running routers. It detects failures and spreads membership changes by
// gossip, following SWIM with suspicion; from Lifeguard it takes the measures that keep a slow router from accusing
// others. The package performs no I/O, reads no clock and starts no goroutine: its caller, cluster/node, passes in
// times and datagrams, and receives datagrams and changes through Output.
//
// Usage: New returns the Members of one router. AddPeers adds the peers and seeds of the configuration. Call Tick
// some tens of times per second, Receive for each datagram, and Leave and Shutdown before a planned end. Members is
// not safe for concurrent use; it calls Output only during these calls. docs/design-shared-work.md explains the
// design.
//
// Files:
//
//   - probe.go pings members and requests indirect pings; indirect.go performs indirect pings for others.
//   - suspicion.go turns a missing ack into a suspicion, and an unrefuted suspicion into a death.
//   - merge.go merges the reports of other routers.
//   - gossip.go spreads changes; sync.go and bucket.go repair what gossip has missed.
//   - contact.go reports whether the other routers hear this one.
//   - messages.go and entry.go encode and decode the datagrams.
//
// Invariants: a member's incarnation never decreases, nor does its refutation count within one incarnation. A
// member is declared dead only after an unrefuted suspicion, never because of a single datagram.
package membership
