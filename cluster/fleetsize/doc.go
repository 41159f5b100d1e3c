// Package fleetsize estimates how many routers share what limits bound: the caches of a zone, the parents and
// the origin. The settings name a size; when many routers are gone, fewer share, and each may take more.
//
// How it is called: New makes one router's estimate. MemberChanged takes each change of membership, Tick is
// called some tens of times a second with this router's contact to the others, Size gives the estimate. There
// is no I/O, no clock and no goroutine; all calls come from one goroutine.
//
// Rules: too small a size overloads what is shared, so in doubt the larger one counts. A router that is out of
// contact, alone or just started goes by the size that the settings name. A router that is believed dead still
// counts for a hold, as it may be beyond a network partition and go on forwarding; while many are gone at once
// the hold is longer, as a partition looks just so. Then the estimate falls slowly. It rises at once, with the
// first message of a router that is back. It is never below the number of routers that are present.
package fleetsize
