// Package health distributes the results of health checks of caches between routers, so that not every router has
// to check every cache.
//
// Usage: RecordProbe records the result of this router's own check, and Receive handles a datagram from a peer.
// ProbeDue reports whether a cache should be checked. Call Tick some tens of times per second: it sends new reports
// to peers. New reports of this or other routers are passed to Output. The package performs no I/O, reads no clock
// and starts no goroutine; Reports is not safe for concurrent use, and it calls Output only during these calls. The
// caller is internal/backgroundwork.
package health
