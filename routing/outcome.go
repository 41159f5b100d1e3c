package routing

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota
	Failed                 // the cache or its source answered with a failure
	Rejected               // shed before it ran
	TimedOut               // no answer within the attempt's deadline
	ConnectFailed          // no connection was made
	ConnectionLost         // the connection ended before the answer did
	Canceled               // canceled by the router
	NotSent                // no whole request left the router
	CacheMiss              // no copy that will do, and none was filled
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

// String names an outcome as the request trace gives it.
func (o Outcome) String() string { return outcomeNames[o] }

// CacheStatus is how the cache reports that it got the answer.
type CacheStatus uint8

// The cache statuses.
const (
	CacheStatusUnknown CacheStatus = iota // not reported
	Hit
	Filled               // by what a parent or sibling held
	FilledFromOrigin     // by a fetch
	JoinedFill           // by a fill that was running already
	Stale                // a copy past its freshness lifetime
	SourceRejected       // the source shed the fill
	SourceConnectionLost // the connection to the source broke
	SourceMiss           // the source was asked for what it holds, and has no copy
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

// String names a cache status as the request trace gives it.
func (s CacheStatus) String() string { return cacheStatusNames[s] }

// IsFill reports whether the answer came by a fill of its own, whatever the source.
func (s CacheStatus) IsFill() bool { return s == Filled || s == FilledFromOrigin }
