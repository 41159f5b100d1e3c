package frontend

// Methods that are not names of classes.
const (
	methodProbe  = "probe"  // asks whether the router is ready
	methodCancel = "giveUp" // notification with a request's id
)

// Fields of a request.
const (
	wireTraceID        = "trace"
	wireObject         = "entity"
	wirePart           = "piece"
	wireGroup          = "lot"
	wireTimeout        = "patience" // in milliseconds
	wireSize           = "size"     // in KB
	wireVersion        = "ver"      // also a field of an answer
	wireIdempotencyKey = "nonce"
	wireTenant         = "customer"
)

// Fields of an answer.
const (
	wireNotModified = "unchanged"
	wireRetryAfter  = "pause" // in milliseconds
	wireReason      = "why"
)

// Errors of an answer.
const (
	wireRejected = "Shed"
	wireFailed   = "Fault"
)

// Kinds of MessagePack-RPC messages.
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// Lengths of MessagePack-RPC messages.
const (
	requestLength      = 4
	responseLength     = 4
	notificationLength = 3
)

// Limits of the protocol, in bytes unless stated otherwise.
const (
	maxMessage      = 1 << 20 // larger than a valid message, so that a slightly too large message still gets an answer
	maxBody         = 48_000
	maxTag          = 64
	maxOpenRequests = 32 // number per connection
	maxPart         = 1 << 30
	maxGroup        = 255
)
