// Package recovery gets a router's state back after a restart, step by step, from the records that other
// routers hold.
//
// How it is called: New makes the state of a router that has just started, Restore gives it the saved state of
// its previous incarnation if there is one. Tick is called some tens of times a second with the router's
// contact to the others, Receive with each datagram. Permissions says what the router may do in its state. What
// comes out goes to Output, which is called only from within these calls. There is no I/O, no clock and no
// goroutine; all calls come from one goroutine.
//
// Fetching: the records that all routers see themselves are much the same. So the keys are cut into slices by
// hash, and each slice is requested from another router, in random order; if one is empty or does not answer,
// its slice is requested from one that has served. The records that a router holds for others it holds nearly
// alone: all routers are asked for those. Routers that by their clocks started earlier than this one are asked
// first. That is a hint, clocks need not agree: a router that has just restarted too has nothing, and says so
// in one datagram. Some requests are under way at a time, and the most requested records come first.
//
// Limits: a router with too many requests to serve defers them to a time at which to ask again, so that
// hundreds of restarted routers do not overload the few that are left. No router waits beyond a bound: it goes
// on with what it has. A recovered record only starts a router's own estimates.
package recovery
