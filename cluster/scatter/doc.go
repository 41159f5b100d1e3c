// Package scatter queries the owners of records: only those that could hold a match, some at a time, again
// where one does not answer.
//
// How it is called: New makes one router's part. Start begins a query, which ends with Output.Done. Tick is
// called some tens of times a second, Receive with each datagram. What comes out goes to Output, which is
// called only from within these calls. There is no I/O, no clock and no goroutine; all calls come from one
// goroutine.
//
// Invariant: a result is complete only if each owner that could hold a match has answered for all its keys,
// under the very map that the query was planned by. An owner that goes by another map says so, and the query is
// planned again by the map that is in force then. One that does not answer is asked again while the query has
// time; after some attempts a replica is asked as well, whose records make nothing complete. An answer of
// several parts has a digest of all that it says: lost parts are requested again, and only parts of the very
// same answer make it complete.
package scatter
