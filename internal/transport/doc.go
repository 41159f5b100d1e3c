// Package transport carries bytes between this router and others. An Engine holds the connections and runs all of their
// callbacks under one lock, so that its users need none. It knows nothing of what the bytes mean.
//
// The Engine stands on a Runtime: a Network and a Clock. In service that is the kernel's, with one poller; simulations
// put one of their own in its place. The ordinary path of a request allocates nothing here.
package transport
