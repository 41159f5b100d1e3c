// Package scatter queries the owners of directory records by scatter-gather: it sends a query to all owners that
// could hold a match, a limited number at a time, repeats requests that are not answered, and merges the answers.
//
// Usage: New returns one router's Coordinator. Start starts a query, which ends with a call of Output.Done. Call
// Tick some tens of times per second, and Receive for each datagram. The package performs no I/O, reads no clock
// and starts no goroutine: its caller, cluster/node, passes in times and datagrams. A Coordinator is not safe for
// concurrent use; it calls Output, Store and Cluster only during these calls.
//
// Invariant: a result is complete only if each owner that could hold a match has answered for all its keys, under
// exactly the map by which the query was planned. An owner that follows another map, or does not serve all its keys
// yet, says so in its answer; the query is then planned again if the requester follows another map by now. An owner
// that does not answer is asked again until the query's deadline. After some attempts a replica is asked, too: its
// records are merged, but do not make a result complete. An answer that consists of several parts has a digest of its
// content: lost parts are requested again, and only parts with the same digest complete the answer.
package scatter
