// Package discovery watches the endpoint list by long polling. It passes the numbered events to its Handler, which
// is internal/service, in order and exactly once. It does not interpret them.
//
// A Watch is guarded by the lock of the transport.Engine: all methods must be called under it. At most one poll is
// in flight at a time. After a failure the next poll follows with an exponential backoff; until then the Handler
// keeps its endpoints.
package discovery
