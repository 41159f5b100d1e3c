// Package health distributes the results of health checks of caches between the routers that share the caches, so
// that not every router has to check every cache.
//
// Usage: New returns one router's empty table. RecordCheck records the result of this router's own check, and
// Receive handles a datagram from a peer. CheckDue reports whether a cache should be checked. Call Tick some tens
// of times per second: it sends new reports to peers and deletes old ones. Output receives each report that is
// newer than the last known one of its cache. The package performs no I/O, reads no clock and starts no goroutine;
// Reports is not safe for concurrent use, and it calls Output only during these calls. The caller is
// internal/backgroundwork.
//
// Protocol: reports spread by gossip. A router sends each new report, its own or a received one, to a number of
// random peers that grows with the logarithm of the number of peers. A lost datagram is not sent again: the next
// check of the cache makes a newer report. A datagram contains the ages of its reports instead of their times,
// because routers' clocks differ. A received report therefore appears younger than it is, by its time in transit
// and by the rounding of the age down to milliseconds.
//
// Invariants: the table contains at most one report of each cache, the newest known one, and at most maxCaches
// reports. A report older than maxAge is neither stored nor sent.
package health
