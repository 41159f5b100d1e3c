// Package discovery watches the endpoint list by long polling: the discovery server holds each poll until there is a
// new event or the poll's wait has passed. The package passes the numbered events to its Handler, implemented by
// internal/service, in order and each at most once, and does not act on them itself. Events that are invalid, or that
// the server does not deliver even when polled again, are skipped and logged.
//
// A Watch is guarded by the lock of the transport.Engine: all methods must be called with the lock held. At most one
// poll is in flight at a time. A failed poll is retried with exponential backoff. While polls fail, the Handler gets
// no events and keeps the endpoints that it knows.
package discovery
