package frontend

// Methods that are no class.
const (
	methodProbe  = "probe"  // is the router ready
	methodCancel = "giveUp" // a notification with a request's id
)

// Fields of a request.
const (
	wireTraceID        = "trace"
	wireObject         = "entity"
	wirePart           = "piece"
	wireGroup          = "lot"
	wireTimeout        = "patience" // milliseconds
	wireSize           = "size"     // KB
	wireVersion        = "ver"      // also of an answer
	wireIdempotencyKey = "nonce"
	wireTenant         = "customer"
)

// Fields of an answer.
const (
	wireNotModified = "unchanged"
	wireRetryAfter  = "pause" // milliseconds
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

// Bounds of the protocol, in bytes where nothing else is said.
const (
	maxMessage      = 1 << 20 // a message too large, but not by far, gets an answer
	maxBody         = 48_000
	maxTag          = 64
	maxOpenRequests = 32 // on one connection
	maxPart         = 1 << 30
	maxGroup        = 255
)
