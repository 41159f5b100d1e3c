// Package shardmap agrees on which router owns which range of keys. It checks that a map covers every key exactly
// once, and puts maps into effect such that no two routers that hear one another serve the same key. It has no I/O,
// clock or goroutine: times, membership changes and datagrams go in, datagrams and map changes come out.
//
// Use: New makes the Manager of one router. MemberChanged reports each membership change, the router's own included.
// Tick is called some tens of times a second and is told whether this router is the proposer, the holder of the map
// lease; Receive takes each datagram. Serves tells, immediately before a reply, whether this router may answer for a
// key. All calls come from one goroutine; Output is called within them.
//
// The way of a map, file by file:
//
//   - propose.go: the proposer proposes a successor once the routers present differ from those the map names;
//     build.go makes it, pin.go takes the operator's instead.
//   - fetch.go: routers announce the version they follow; a router that hears of a higher one fetches its pieces.
//   - validate.go: a complete map is checked against the rules. One that breaks a rule is rejected.
//   - adopt.go: a router follows a valid map at once and stops serving what the map gives to others. It serves ranges
//     that it gains only once every router present is known to follow exactly this map.
//   - contact.go: a router that nobody proves to hear serves nothing.
//
// Invariants: a map never changes once made; a map that is not complete has no effect; a range that a router keeps
// from one map to the next is served throughout. In a network split each side continues with maps of its own. Once
// the sides hear one another the higher version wins; until a router has heard of it, two routers may serve a key.
package shardmap
