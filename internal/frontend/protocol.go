package frontend

// Methods of the protocol. All other method names are names of request classes.
const (
	methodProbe  = "probe"  // request that asks whether the router is ready
	methodCancel = "giveUp" // notification that cancels a request, with the request's id
)

// Fields of a request.
const (
	wireTraceID        = "trace"
	wireObject         = "entity"
	wirePart           = "piece"
	wireGroup          = "lot"
	wireTimeout        = "patience" // in milliseconds
	wireSize           = "size"     // in the platform's KB
	wireVersion        = "ver"      // version tag of the client's copy; in an answer, of the current copy
	wireIdempotencyKey = "nonce"
	wireTenant         = "customer"
)

// Fields of an answer.
const (
	wireNotModified = "unchanged" // "1" if the client's copy is current
	wireRetryAfter  = "pause"     // in milliseconds
	wireReason      = "why"       // why a request was refused: see errors.go
)

// Error codes of an answer.
const (
	wireRejected = "Shed"  // a retry is safe
	wireFailed   = "Fault" // the request failed or is invalid; a retry may not be safe
)

// Kinds of MessagePack-RPC messages.
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// Lengths of MessagePack-RPC messages, in array elements.
const (
	requestLength      = 4
	responseLength     = 4
	notificationLength = 3
)

// Limits of the protocol. Sizes are in bytes.
const (
	maxMessage          = 1 << 20 // larger than a valid message, so that a slightly too large message still gets an answer
	maxBody             = 48_000
	maxForwardableBytes = 64      // length of version tags and idempotency keys
	maxOpenRequests     = 32      // number per connection
	maxPart             = 1 << 30 // highest number of a part
	maxGroup            = 255     // highest id of a group
)
