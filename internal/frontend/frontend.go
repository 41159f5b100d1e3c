// Package frontend serves clients. It implements their protocol, MessagePack-RPC over TCP, enforces limits, and
// passes requests to a Handler, which is internal/service. The protocol's names for methods and fields appear only
// in protocol.go, each next to the term used in the code.
//
// Each request that is passed to the Handler must be answered with one call of Answer, Reject or Fail on its
// Client, unless StartRequest returned false or the client left. All calls are made under the lock of the
// transport.Engine.
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
	UnreadFor      routing.Micros // for how long at most its last byte was unread because the process did not run
	Background     bool           // no client waits for it: see routing.Request
	RequestGap     routing.Micros // for Background: time between requests for the object
}

// Client receives the only answer to each of its requests, identified by the request's number.
type Client interface {
	Answer(number RequestNumber, version, body []byte, notModified bool)
	Reject(number RequestNumber, retryAfter routing.Micros) // retryAfter is 0 if the client is not told when to retry
	Fail(number RequestNumber)
	Assigned(number RequestNumber, id routing.RequestID) // sets the router's id of the request
	// State returns whether the client has canceled the request or closed its connection while the process did not run,
	// so that the Handler does not know of it yet.
	State(number RequestNumber) ClientState
}

// ClientState is whether a client waits for the answer to a request, after a stall of the process.
type ClientState uint8

const (
	// ClientWaits means that no sign of the contrary has been received.
	ClientWaits ClientState = iota
	// ClientGone means that a cancellation or the end of the connection has been received and not read yet.
	ClientGone
	// ClientUnknown means that the client may have left too long ago for an attempt to begin: what it sent may still be
	// on its side, because it could not send.
	ClientUnknown
)

// Handler handles the requests received by a Server.
type Handler interface {
	Ready() bool // false before the first endpoint list and during a shutdown
	Class(name []byte) (routing.ClassID, bool)
	Tenant(name []byte) routing.TenantID
	// StartRequest accepts a request. It returns false if an open request has the same trace id.
	StartRequest(from Client, number RequestNumber, request *Request) bool
	ClientLeft(id routing.RequestID)
	// NoticeStall is called before received bytes are handled and before a connection is accepted. If the process has not
	// run for some time, the handler calls Server.Stalled.
	NoticeStall()
}
