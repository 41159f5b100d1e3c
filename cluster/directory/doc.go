// Package directory holds the records of cached objects. Each router reports what it has seen of an object to
// the owner of the object's key and to the first replica; these merge the reports of all routers into one
// record an object.
//
// How it is called: New makes one router's part. ObserveRequest takes the outcome of a request, ObservePurge a
// purge, SetShardMap each new shard map. Tick is called some tens of times a second, Receive with each
// datagram. Lookup, Each and Hottest read. What comes out goes to Output, which is called only from within
// these calls. There is no I/O, no clock and no goroutine; all calls come from one goroutine.
//
// Merging: request rates of routers add up. A record's request gap is that of one router, which is what a
// newcomer would come to itself: the rate of all reported requests, divided by the routers that report. A
// router of hundreds may see an object once in minutes and know no gap at all; all routers together do. The
// newer sight of a copy wins. A purge drops older copies and is remembered for as long as such a copy could be
// reported again. Times travel as ages, so the clocks of routers need not agree.
//
// What may be lost: reports that have not been sent when a router dies (about a second's, newest sent first),
// and all of a record if its owner, its first replica and all routers that reported it die within
// repeatInterval, the time in which a new owner gets the reports again.
package directory
