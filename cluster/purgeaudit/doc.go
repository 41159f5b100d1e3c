// Package purgeaudit finds out which copies from before a group's purge are left: in which caches, of how many
// objects.
//
// How it is called: ObservePurge takes each group's purge, Tick is called some tens of times a second,
// HandleResult with each query's result. Findings go to Output, which is called only from within these calls.
// There is no I/O, no clock and no goroutine; all calls come from one goroutine.
//
// Rules: all routers observe a purge and one of them queries, the one that proposes the shard maps; the others
// forget the purge. It waits until the owners of records have observed the purge too, queries one group at a
// time, the latest purge first, and again while a result is incomplete. A second purge of a group replaces the
// first: what was older than that is older than this. Purges beyond the bound are dropped and counted.
package purgeaudit
