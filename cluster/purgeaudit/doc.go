// Package purgeaudit finds which copies from before a group's purge remain, in which caches and of how many
// objects.
//
// Usage: ObservePurge records the purge of a group, and HandleResult handles the result of each query. Call Tick
// some tens of times per second. The package performs no I/O, reads no clock and starts no goroutine; an Auditor is
// not safe for concurrent use, and it calls Output only during these calls. The caller is cluster/node.
//
// Rules: all routers observe a purge, and the proposer of shard maps audits it; the others forget it. The auditor
// waits until the owners of records have observed the purge, too. It queries one group at a time, the latest purge
// first, and repeats the query while the result is incomplete. A second purge of a group replaces the first,
// because copies older than the first are also older than the second. Purges beyond the limit are dropped and
// counted.
package purgeaudit
