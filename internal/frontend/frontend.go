// Package frontend serves clients. It implements their protocol, MessagePack-RPC over TCP, enforces limits, and
// passes requests to a Handler, which is internal/service. The protocol's names for methods and fields appear only
// in protocol.go, each next to the term used in the code.
//
// Each request that is passed to the Handler must be answered with one call of Answer, Reject or Fail on its
// Client, unless Arrive returned false or the client left. All calls are made under the lock of the transport.Engine.
package frontend

import "threadrun/routing"

// HexID is an id of 16 hexadecimal digits, as sent by clients.
type HexID = [16]byte

// RequestNumber identifies a request on its Client and is never reused. The client's own id of the request may be
// reused by the client.
type RequestNumber uint64

// Request is a request as received from a client. The memory that its slices refer to is valid only during the
// call.
type Request struct {
	Class          routing.ClassID
	TraceID        HexID // identifies the request on its way through all systems
	Object         HexID
	Part           int
	Group          routing.GroupID
	Timeout        routing.Micros // time until the client gives up
	SizeKB         float64        // size of the object according to the client, in the platform's KB
	CachedVersion  []byte         // version tag of the client's copy; empty: none
	IdempotencyKey []byte         // key by which caches drop repeats; forwarded unchanged
	Tenant         routing.TenantID
	Body           []byte
	Background     bool           // no client waits for it: see routing.Request
	RequestGap     routing.Micros // for Background: time between requests for the object
}

// Client receives the only answer to each of its requests, identified by the request's number.
type Client interface {
	Answer(number RequestNumber, version, body []byte, notModified bool)
	Reject(number RequestNumber, retryAfter routing.Micros) // retryAfter is 0 if the client is not told when to retry
	Fail(number RequestNumber)
	Assigned(number RequestNumber, id routing.RequestID) // sets the router's id of the request
	// Canceled reports whether the bytes not read yet show that the client has canceled the request or closed its
	// connection.
	Canceled(number RequestNumber) bool
}

// Handler handles the requests received by a Server.
type Handler interface {
	Ready() bool // false before the first endpoint list and during a shutdown
	Class(name []byte) (routing.ClassID, bool)
	Tenant(name []byte) routing.TenantID
	// Arrive accepts a request. It returns false if an open request has the same trace id.
	Arrive(from Client, number RequestNumber, request *Request) bool
	ClientLeft(id routing.RequestID)
	// Stalled reports whether the process did not run for some time. The cancellation of a request that is read now may
	// then already be among the bytes not read yet.
	Stalled() bool
}
