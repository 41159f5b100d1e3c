package routing

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota
	Failed                 // the cache or its source reported a failure
	Rejected               // shed before it ran
	TimedOut               // no answer before the attempt's deadline
	ConnectFailed          // no connection could be made
	ConnectionLost         // the connection was lost before the answer was complete
	Canceled               // canceled by the router
	NotSent                // not sent, not sent completely, or expired when it reached the cache
	CacheMiss              // no acceptable copy, and none was filled
)

var outcomeNames = [...]string{
	Succeeded:      "succeeded",
	Failed:         "failed",
	Rejected:       "rejected",
	TimedOut:       "timed out",
	ConnectFailed:  "connect failed",
	ConnectionLost: "connection lost",
	Canceled:       "canceled",
	NotSent:        "not sent",
	CacheMiss:      "cache miss",
}

// String returns the outcome's name in the request log.
func (o Outcome) String() string { return outcomeNames[o] }

// CacheStatus says how the cache obtained the answer, or why it could not, as the cache reports it.
type CacheStatus uint8

// The cache statuses.
const (
	CacheStatusUnknown CacheStatus = iota // not reported
	Hit
	Filled               // from the copy of a parent or sibling
	FilledFromOrigin     // by a fetch from the origin
	JoinedFill           // by a fill that was already running
	Stale                // from a copy past its freshness lifetime
	SourceRejected       // the source shed the fill
	SourceConnectionLost // the connection to the source was lost
	SourceMiss           // the source was asked for its own copies only, and has none
	CacheBusy            // the cache itself had no capacity
	OriginFailed         // the fetch failed at the origin
)

var cacheStatusNames = [...]string{
	CacheStatusUnknown:   "unknown",
	Hit:                  "hit",
	Filled:               "filled",
	FilledFromOrigin:     "filled from origin",
	JoinedFill:           "joined fill",
	Stale:                "stale",
	SourceRejected:       "source rejected",
	SourceConnectionLost: "source connection lost",
	SourceMiss:           "source miss",
	CacheBusy:            "cache busy",
	OriginFailed:         "origin failed",
}

// String returns the cache status's name in the request log.
func (s CacheStatus) String() string { return cacheStatusNames[s] }

// IsFill reports whether the attempt itself caused a fill, from whichever source.
func (s CacheStatus) IsFill() bool { return s == Filled || s == FilledFromOrigin }
