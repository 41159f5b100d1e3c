// Package location finds out which caches could hold an object: one more source for a fill while the object's
// own cache is warming up, lost or overloaded.
//
// How it is called: Request names an object that a request would fill from elsewhere, ObservePurge takes
// purges, Tick is called some tens of times a second, HandleResult with each query's result. What comes out
// goes to Output, which is called only from within these calls. There is no I/O, no clock and no goroutine; all
// calls come from one goroutine.
//
// Rules: a client's request never waits for this. Each object is queried once at a time, the newest request
// first, within a budget that many requests do not raise; the result is kept for a while, also that no copy was
// found. Copies are named that were seen lately and are younger than any purge observed since the object was
// requested, the one seen last first. An incomplete result may name a copy all the same: it is a hint, and the
// cache itself says what it holds.
package location
