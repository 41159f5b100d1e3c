// Package directory stores the records of cached objects at the owners of their keys, which the shard map names.
// Each router reports what it has observed about an object to the owner of the object's key and to the first
// replica, which merge the reports of all routers into one record per object.
//
// Usage: New returns one router's Directory. ObserveRequest records an answered request, ObservePurge a purge, and
// SetShardMap each new shard map. Call Tick some tens of times per second, and Receive for each datagram. Lookup,
// Each and Hottest read records. The package performs no I/O, reads no clock and starts no goroutine; a Directory
// is not safe for concurrent use, and it calls Output only during these calls. The caller is cluster/node.
//
// Merging (merge.go): the request rates of routers add up. A record's request gap is that of a single router, which
// is what a new router would observe: the number of reporting routers divided by the rate of all reported requests.
// One router of hundreds may receive one request for an object in minutes and know no gap, but all routers together
// do. The most recent observation of a copy wins. A purge removes older copies and is remembered for as long as
// such a copy could still be reported (purge.go). Datagrams carry ages instead of times, so that routers' clocks
// need not agree (wire.go).
//
// Distribution: reports are not acknowledged. Instead, a router reports an object again every repeatInterval while
// the object is requested (report.go). When the shard map changes, the previous holders of a record send it to its
// new owner, most requested records first (handover.go). A router also stores its own reports locally if others hold
// the record.
//
// Possible losses: the reports that a router has not sent yet when it dies (those of about one second; the newest are
// sent first), and a record if its owner, its first replica and all routers that reported it die within
// repeatInterval, the time in which a new owner receives the reports again.
package directory
