// Package summary describes in a few hundred bytes which records an owner could hold: by a filter over its objects
// and groups, and by the range of the sizes of its objects. A query skips the owners whose summaries rule out a
// match.
//
// Usage: an owner's Publisher is updated with its records and answers requests. A Reader requests the summaries of
// other owners and reports whether an owner could hold what a query asks for. The package performs no I/O, reads
// no clock and starts no goroutine; its types are not safe for concurrent use. The caller is cluster/node.
//
// Invariant: an owner that could hold a published record is always queried. A reader requests an owner's summary
// and uses it under a lease that starts when the request was sent. The owner records the same lease, whose length
// the request states, from the later time at which it sent the answer. A record that is newer than a summary
// counts as published once the owner has no unexpired lease on any summary without it: no reader uses such a
// summary then, even if datagrams were lost, duplicated or late, and clocks need not agree. A reader assumes that
// the owner could hold everything if a piece is missing, if its lease has expired, if it uses another map, or if
// the summary is of another incarnation of the owner.
//
// The filter is a Bloom filter, which is small for a few hundred keys and can be assembled from pieces in any
// order. Each version has a new filter, so keys never have to be removed.
package summary
