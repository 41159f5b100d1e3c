// Package health passes on what health checks of caches have shown, with its age, so that not every router need
// check every cache.
//
// How it is called: RecordProbe takes the outcome of an own check, Receive a datagram of a peer. ProbeDue says
// whether a cache is to be checked. Tick, called some tens of times a second, sends peers what is new. What is
// new, of one's own or of others, goes to Output, which is called only from within these calls. There is no
// I/O, no clock and no goroutine; all calls come from one goroutine.
package health
