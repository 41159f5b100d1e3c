// Package lease divides shared work between the routers of a zone. The work is divided into leases; the package agrees
// on which router holds which. Each router keeps the whole table, and a lease stays where it is for as long as its
// holder runs. The package has no I/O, clock or goroutine: times, membership changes and datagrams go in, datagrams and
// changes of holders come out.
//
// Use: New makes the Manager of one router. MemberChanged reports each membership change, the router's own included.
// Tick is called some tens of times a second, Receive with each datagram. Holds tells, immediately before a task is
// run, whether it is this router's to run. All calls come from one goroutine; Output is called within them.
//
// How a lease finds its holder, file by file:
//
//   - ranking.go: weighted rendezvous hashing ranks the members for each lease.
//   - assign.go: a vacant lease goes to the best member that has room for it. That member claims it with the next term;
//     if no claim is heard for a while the second best does, and so on.
//   - table.go: of two claims the higher term wins; of two with one term, the better hash.
//   - rebalance.go: a holder with too many leases offers some to others.
//   - gossip.go and digest.go: claims are spread, and tables compared.
//   - contact.go: a router that nobody proves to hear suspends its tasks.
//
// Tables that differ for a time cost repeated work, which is why only idempotent tasks can be shared (task.go). A lease
// goes without a holder only while no router knows that its holder has ended.
package lease
