// Package frontend serves clients: it speaks their protocol, MessagePack-RPC over TCP, keeps them to limits and hands
// their requests over to a Handler. The names of the protocol's methods and fields stand in protocol.go alone, each
// beside the code's term.
//
// Every request that is handed over gets one call of Answer, Reject or Fail on its Client, unless its client left.
// All calls come under the engine's lock.
package frontend

import "threadrun/routing"

// HexID is an id of 16 hex digits, as clients give it.
type HexID = [16]byte

// RequestNumber is a Client's number for one of its requests, never given twice. A connection has another id for the
// request besides, the client's own, which may come again.
type RequestNumber uint64

// Request is one request as a client asks for it. What its slices point to is good within the call only.
type Request struct {
	Class          routing.ClassID
	TraceID        HexID // of this request, from end to end
	Object         HexID
	Part           int
	Group          routing.GroupID
	Timeout        routing.Micros // until the client gives up
	SizeKB         float64        // of the object, as the client gives it; all KB of the router are the platform's
	CachedVersion  []byte         // version tag of the copy that the client has; empty: none
	IdempotencyKey []byte         // by which repeats are dropped; goes on unchanged
	Tenant         routing.TenantID
	Body           []byte
	Background     bool           // no client waits for it: see routing.Request
	RequestGap     routing.Micros // between requests for the object, with Background
}

// Client gets the one answer to each of its requests, under the number that it gave the request.
type Client interface {
	Answer(number RequestNumber, version, body []byte, notModified bool)
	Reject(number RequestNumber, retryAfter routing.Micros) // 0: the client is not told when to retry
	Fail(number RequestNumber)
	Assigned(number RequestNumber, id routing.RequestID) // the router's id for the request
	// Canceled reports whether the client has canceled a request, or closed its connection, in what was not read yet.
	Canceled(number RequestNumber) bool
}

// Handler gets the requests of a front end.
type Handler interface {
	Ready() bool // false before the first endpoint list and while draining
	Class(name []byte) (routing.ClassID, bool)
	Tenant(name []byte) routing.TenantID
	// Arrive takes a request; false: refused, a request in hand has its trace id.
	Arrive(from Client, number RequestNumber, request *Request) bool
	ClientLeft(id routing.RequestID)
	Stalled() bool // no turn for long: what is read now may be old, and a cancellation of it unread
}
