// Package fleetsize estimates how many routers share the load limits of a zone's caches, the parents and the
// origin. Each router uses its share of a limit. The settings configure a size; if some of these routers are gone,
// fewer routers share the limits and each may use more.
//
// Usage: New returns one router's Estimator, MemberChanged records each change of another router's membership, and
// Size returns the estimate. Call Tick some tens of times per second. The package performs no I/O, reads no clock
// and starts no goroutine; an Estimator is not safe for concurrent use. The caller is cluster/node.
//
// Rules: a size that is too small overloads the shared endpoints, so the estimate is the larger size wherever it
// is not known which one applies. A router that is out of contact, alone or just started uses at least the
// configured size. A router that is believed dead or has left still counts for some time (the hold), because it
// may be on the other side of a network partition and still forward requests. While many routers are gone at once,
// which suggests a partition, the hold is longer. After the hold the estimate falls slowly. It rises at once, with
// the first message of a returning router.
//
// Invariant: the estimate is never below the number of present routers.
package fleetsize
