package frontend

import "errors"

// Reasons for closing a connection. They are logged, except errIdle and errEvicted, and not sent to the client.
var (
	errNotRPC          = errors.New("not a MessagePack-RPC request or notification")
	errDuplicateID     = errors.New("request id of an open request is used again")
	errAnswersNotRead  = errors.New("client does not read its answers")
	errRequestTimeout  = errors.New("no complete request arrived in time")
	errIdle            = errors.New("idle")
	errEvicted         = errors.New("idle while there are too many connections")
	errMessageTooLarge = errors.New("too large a message while there are too many connections")
)

// Reasons for refusing a request. Clients receive these texts: they are part of the protocol and must not change. The
// text of errDuplicateTraceID calls the trace id a mark, as the protocol does.
var (
	errTooManyRequests  = errors.New("too many open requests")
	errDuplicateTraceID = errors.New("a request's mark that is open already")
	errBadField         = errors.New("unusable field")
	errDuplicateField   = errors.New("doubled field")
	errMissingField     = errors.New("missing field")
	errBadBody          = errors.New("unusable body")
	errUnknownMethod    = errors.New("unknown method")
	errBodyTooLarge     = errors.New("too large a body")
)
