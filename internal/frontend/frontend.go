// Package frontend serves clients. It implements the client protocol, MessagePack-RPC over TCP, enforces limits on
// connections, requests and memory, and passes requests to a Handler, which internal/service implements. The
// protocol's names of methods and fields appear only in protocol.go, each next to the term used in the code.
//
// The Handler must answer each request that is passed to it with one call of Answer, Reject or Fail on its Client,
// unless StartRequest returned false or the client left: it canceled the request, or its connection ended. All calls in
// both directions are made under the lock of the transport.Engine.
//
// A stall is a time in which the process did not run, for example because it was paused or got no CPU time. Requests
// that arrive during a stall are read late. The package bounds that delay (Request.UnreadFor), and finds cancellations
// that were received and not read yet (Client.State), so that no attempt begins for a client that left.
package frontend

import "threadrun/routing"

// HexID is an id of 16 hexadecimal digits, as sent by clients.
type HexID = [16]byte

// RequestNumber identifies a request on its Client and is never reused, unlike the id that the client assigned to the
// request, which the client may reuse after the answer.
type RequestNumber uint64

// Request is a request as received from a client, or a request of background work. The memory that its slices refer to
// is valid only during the call to which the Request is passed.
type Request struct {
	Class          routing.ClassID
	TraceID        HexID // identifies the request in all systems that handle it
	Object         HexID
	Part           int // number of the requested part of the object
	Group          routing.GroupID
	Timeout        routing.Micros // time until the client gives up, from when it sent the request
	SizeKB         float64        // size of the object according to the client, in the platform's KB
	CachedVersion  []byte         // version tag of the client's copy; empty: none
	IdempotencyKey []byte         // key by which caches recognize and drop repeated requests; forwarded unchanged
	Tenant         routing.TenantID
	Body           []byte
	UnreadFor      routing.Micros // longest time for which the request can have been unread because of a stall
	Background     bool           // no client waits for the answer: see routing.Request
	RequestGap     routing.Micros // if Background is set: time between requests for the object
}

// Client is the sender of requests, which are identified by their numbers. The package comment says which requests must
// be answered.
type Client interface {
	// Answer sends a successful answer. version is the version tag of the copy, or empty. If notModified is set, the
	// client's copy is current.
	Answer(number RequestNumber, version, body []byte, notModified bool)
	Reject(number RequestNumber, retryAfter routing.Micros) // retryAfter is 0 if the client is not told when to retry
	Fail(number RequestNumber)                              // the request failed, and may have run
	// IDAssigned passes on the id that the router has assigned to the request. ClientLeft is called with that id.
	IDAssigned(number RequestNumber, id routing.RequestID)
	// State returns whether the client still waits for the answer. During a stall the client may have canceled the
	// request or closed the connection, which the Handler learns by ClientLeft only later.
	State(number RequestNumber) ClientState
}

// ClientState is what is known, after a stall, about whether a client still waits for the answer to a request.
type ClientState uint8

const (
	// ClientWaits means that neither a cancellation nor the end of the connection has been received.
	ClientWaits ClientState = iota
	// ClientGone means that a cancellation or the end of the connection has been received and not read yet.
	ClientGone
	// ClientUnknown means that the receive buffer may have been full during the stall, so that a cancellation or the
	// end of the connection may not have reached the router yet. The client may have left more than
	// maxUnseenCancelAge ago, so no attempt may begin.
	ClientUnknown
)

// Handler handles the requests received by a Server.
type Handler interface {
	Ready() bool                               // false before the first endpoint list and during a shutdown
	Class(name []byte) (routing.ClassID, bool) // false if there is no class with the name
	Tenant(name []byte) routing.TenantID       // routing.NoTenant if the settings do not name the tenant
	// StartRequest accepts a request. It returns false if an open request has the same trace id.
	StartRequest(from Client, number RequestNumber, request *Request) bool
	// ClientLeft is called when the client has canceled the request or its connection has ended. The request is no longer
	// open, and answers to it are ignored.
	ClientLeft(id routing.RequestID)
	// DetectStall is called before received bytes are handled and before a connection is accepted. If the process has
	// stalled, the Handler calls Server.Stalled.
	DetectStall()
}
