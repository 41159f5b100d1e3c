// Package shardmap lets the routers agree on which router owns which range of keys. It validates that a map covers
// every key exactly once, and activates maps so that no two routers that hear each other serve the same key. The
// package performs no I/O, reads no clock and starts no goroutine: its caller, cluster/node, passes in times,
// membership changes and datagrams, and receives datagrams and map changes through Output.
//
// Usage: New returns the Manager of one router. Call MemberChanged for each membership change, including changes of
// the router itself. Call Tick some tens of times per second; its arguments say whether this router is the proposer,
// which is the holder of the map lease. Call Receive for each datagram. Call Serves immediately before each reply:
// it reports whether this router may answer for a key. A Manager is not safe for concurrent use; it calls Output
// only during these calls.
//
// The life of a map, by file:
//
//   - propose.go: the proposer proposes a successor when the present routers differ from the owners in the current
//     map. build.go computes it, unless the operator has pinned a map (pin.go).
//   - fetch.go: routers announce the version they follow; a router that hears of a higher version fetches the pieces
//     of that map.
//   - validate.go: a complete map is validated against the rules, and rejected if it breaks one.
//   - adopt.go: a router follows a valid map at once and stops serving the ranges that the map assigns to others.
//     It serves the ranges it gains only when every present router is known to follow exactly this map.
//   - contact.go: a router serves no keys while it has no recent proof that other routers hear it.
//
// Invariants: a Map is immutable; an incomplete map has no effect; a range that a router keeps from one map to the
// next is served without interruption. In a network partition each side continues with its own maps. When the sides
// hear each other again, the map with the higher version wins; until a router has received that map, two routers may
// serve the same key.
package shardmap
