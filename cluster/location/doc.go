// Package location finds the caches that may hold an object. A copy at such a cache can be the source of a fill
// while the object's own cache is warming up, lost or overloaded.
//
// Usage: Request names an object that a request would otherwise fill from a parent, ObservePurge records purges,
// and HandleResult handles the result of each query. Call Tick some tens of times per second: it starts the
// queries. The package performs no I/O, reads no clock and starts no goroutine; a Locator is not safe for
// concurrent use, and it calls Output only during these calls. The caller is cluster/node.
//
// Rules: a client's request never waits for a location. There is at most one query per object at a time, the
// newest request is queried first, and the rate of queries is limited. A result is kept for some time, including a
// result without copies, so that an object is not queried again at once. Copies are reported if they were seen
// recently and are younger than any purge observed since the object was first requested, most recently seen first.
// Purges from before the first request are left to the owners of records, which remove invalidated copies, and to
// the receiver of the copies. An incomplete result may still report copies: they are hints, and the cache itself
// knows what it holds.
package location
