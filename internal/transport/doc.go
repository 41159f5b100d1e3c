// Package transport carries bytes between this router, its clients and other endpoints. An Engine owns the
// connections and runs all of their callbacks under one lock, so that its users need no locks of their own. It does
// not interpret the bytes.
//
// The Engine runs on a Runtime, which provides a Network and a Clock. In the service these use the kernel, with one
// poller; simulations provide their own. The common path of a request allocates no memory in this package.
package transport
