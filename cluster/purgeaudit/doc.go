// Package purgeaudit finds out after the purge of a group which copies from before the purge remain: in which
// caches, and of how many objects.
//
// Usage: ObservePurge records the purge of a group, and HandleResult handles the result of each query. Call Tick
// some tens of times per second: it starts the queries. Output receives one finding per audited purge. The package
// performs no I/O, reads no clock and starts no goroutine; an Auditor is not safe for concurrent use, and it calls
// Output only during these calls. The caller is cluster/node.
//
// Rules: all routers observe a purge, but only the proposer of shard maps audits it; the others skip it. The
// auditor waits until the owners of records can be expected to have observed the purge, too. It queries one group
// at a time, the latest purge first, and repeats the query while the result is incomplete, up to a limit. A second
// purge of a group replaces the first, because copies older than the first are also older than the second. Purges
// beyond the limit are dropped, the earliest first, and counted.
package purgeaudit
