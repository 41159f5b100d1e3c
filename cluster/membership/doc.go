// Package membership tells a router which other routers run. It detects failures and spreads changes by gossip as SWIM
// does, with suspicion, and with the measures of Lifeguard for a router that is itself slow. It has no I/O, clock or
// goroutine: times and datagrams go in, datagrams and changes come out.
//
// Use: New makes the view of one router. AddPeers names the peers or seeds of the configuration. Tick is called some
// tens of times a second, Receive with each datagram, Leave and Shutdown before a planned end. All calls come from one
// goroutine; Output is called within them. docs/design-shared-work.md gives the reasons for the design.
//
// The files: probe.go pings members and asks others to, indirect.go does so for others, suspicion.go turns a missing
// ack into a suspicion and a suspicion into a death, merge.go takes in what others report, gossip.go spreads it, and
// sync.go and partition.go repair what gossip has missed. messages.go and entry.go have the datagrams.
//
// Invariants: the incarnation of a member never decreases; nor does its count of refutations within one incarnation. A
// member is taken for dead only after a suspicion that lasted, never on the word of one datagram.
package membership
