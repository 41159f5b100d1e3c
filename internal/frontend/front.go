// Package front holds what clients' protocols have in common, and the platform's own: MessagePack-RPC over TCP.
// Another front speaks another protocol to its clients and hands its requests over in the same way.
package frontend

import "threadrun/routing"

// HexID is a request's own id, 16 hex digits, given by the client.
type HexID = [16]byte

// Request is one request as a client asks for it. Its bytes are good within the call only.
type Request struct {
	Class          routing.ClassID
	TraceID        HexID
	Object         HexID
	Part           int
	Group          routing.GroupID
	Timeout        routing.Micros
	SizeKB         float64
	CachedVersion  []byte // tag of a copy that the client holds
	IdempotencyKey []byte // by which repeats of a keyed request are dropped; goes on unchanged
	Tenant         routing.TenantID
	Body           []byte
	Background     bool           // background work, not a client's: see decide.Asked
	RequestGap     routing.Micros // with that
}

// Client takes the one answer to each of its requests, under the number it gave the request.
type Client interface {
	Answer(no uint64, tag, body []byte, unchanged bool)
	Reject(no uint64, comeback routing.Micros) // 0: the client is not told when to come back
	Fail(no uint64)
	Assigned(no uint64, v routing.RequestID) // the router's name for the request
	// Canceled tells whether the client has cancelled a request, or closed its connection, in what has come from it and was not read yet.
	Canceled(no uint64) bool
}

// Handler is what a front hands its requests to.
type Handler interface {
	Ready() bool // false before the start and at the end
	Class(name []byte) (routing.ClassID, bool)
	Tenant(name []byte) routing.TenantID
	Arrive(from Client, no uint64, ask *Request) bool // false: its mark is that of a request in hand, and it is not taken
	ClientLeft(v routing.RequestID)
	Stalled() bool // the router got no turn for long: what it reads now may be old, and what follows it may have come as well
}
