// Package lease divides shared work among the routers of a zone. The work is partitioned into a fixed number of
// leases, and the routers agree on which of them holds which lease. Each router keeps the complete table. A lease
// stays with its holder for as long as the holder runs, except for the few that rebalancing moves. The package
// performs no I/O, reads no clock and starts no goroutine: its callers pass in times, membership changes and
// datagrams, and receive datagrams and this router's gains and losses of leases through Output. The callers are
// internal/control, for the leases of a zone, and cluster/node, for the single lease whose holder proposes shard
// maps.
//
// Usage: New returns the Manager of one router. MemberChanged reports each membership change, including the
// router's own. Call Tick some tens of times per second, and Receive for each datagram. Call MayRun immediately
// before each task: it reports whether this router may run it. A Manager is not safe for concurrent use; it calls
// Output only during these calls.
//
// How leases are assigned, by file:
//
//   - ranking.go: weighted rendezvous hashing ranks the members for each lease.
//   - assign.go: a vacant lease belongs to the best-ranked member with free capacity. That member claims it with the
//     next term; if no claim arrives for some time, the second best member claims it, and so on.
//   - table.go: of two claims of a lease the higher term wins; at equal terms, the holder with the higher hash.
//   - rebalance.go: a holder with too many leases offers some to members with free capacity.
//   - gossip.go and digest.go: claims are spread by gossip, and digests find the differences between two tables.
//   - contact.go: a router suspends its tasks while nothing proves that others hear it.
//
// Claims need no quorum. Other routers claim a holder's leases as soon as membership reports that it is leaving or
// is no longer present. Tables may therefore differ for some time, so that two routers run the tasks of one lease;
// for this reason only idempotent tasks can be shared (task.go).
package lease
