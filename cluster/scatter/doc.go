// Package scatter queries the owners of records. It asks only owners that could hold a match, a limited number at a
// time, and repeats requests that are not answered.
//
// Usage: New returns one router's Coordinator. Start starts a query, which ends with a call of Output.Done. Call
// Tick some tens of times per second, and Receive for each datagram. The package performs no I/O, reads no clock
// and starts no goroutine; a Coordinator is not safe for concurrent use, and it calls Output only during these
// calls. The caller is cluster/node.
//
// Invariant: a result is complete only if each owner that could hold a match has answered for all its keys, under
// exactly the map by which the query was planned. An owner that follows another map says so, and the query is
// planned again with the current map. An owner that does not answer is asked again until the query's deadline;
// after some attempts a replica is asked, too, but its records do not make a result complete. An answer that
// consists of several parts has a digest of its content: lost parts are requested again, and only parts with the
// same digest complete the answer.
package scatter
