// Package transport implements stream connections and datagram sockets on an event loop. An Engine owns the
// connections of the router, and runs all of their callbacks under one lock, so that its users need no locks of
// their own. It does not interpret the bytes that are exchanged.
//
// The Engine runs on a Runtime, which provides a Network and a Clock. The service's Runtime uses the kernel's
// sockets with one poller, and the system's clock; simulations provide their own. The usual path of a request
// allocates no memory in this package.
package transport
