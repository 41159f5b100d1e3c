// Package summary says in a few hundred bytes which records an owner could hold: a filter over its objects and
// groups, and the least and greatest size of its objects.
//
// How it is called: an owner's Publisher is updated with its records and answers requests, a Reader requests
// the summaries of other owners and says whether one could hold what a query asks for. There is no I/O, no
// clock and no goroutine; all calls come from one goroutine.
//
// Invariant: an owner that could hold a published record is always queried. A reader requests an owner's
// summary, and goes by it for a lease from when its request left; the owner notes the same lease, which the
// request names, from when its answer left, which is later. A record that is newer than a summary counts as
// published once the owner has noted no lease on any summary without it: no reader goes by such a one then,
// whatever was lost, duplicated or late, and clocks need not agree. A reader that misses a piece, whose lease
// has run out, that goes by another map or has the summary of another incarnation of the owner takes it for one
// that could hold everything.
//
// The filter is a Bloom filter: it is small at a few hundred keys, is made again with each version, so that no
// key is ever taken out, and can be put together from pieces in any order.
package summary
