package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// Fields of a cache's answer, as the cache protocol names them.
const (
	fieldVersion     = "etag"
	fieldCacheStatus = "detail"
	fieldGenerated   = "made" // Unix milliseconds
)

// outcomeOf words an attempt's end for the router. Only what proves that no whole request arrived may say so: a
// non-idempotent request is retried on its word.
func outcomeOf(answer *attempts.Result) routing.Outcome {
	switch answer.Status {
	case attempts.OK, attempts.NotModified:
		return routing.Succeeded
	case attempts.NotFound:
		return routing.CacheMiss
	case attempts.Overloaded:
		return routing.Rejected
	case attempts.Expired:
		return routing.NotSent
	case attempts.Failed, attempts.Unknown:
		return routing.Failed
	}
	if retryAfterConnectionLoss() {
		return routing.NotSent
	}
	switch answer.Err.Progress {
	case attempts.NotConnected:
		return routing.ConnectFailed
	case attempts.NotSent, attempts.PartlySent:
		return routing.NotSent
	}
	return routing.ConnectionLost // bytes that the kernel took may have arrived
}

// timeoutOutcome words the end of an attempt that ran out of time.
func timeoutOutcome(progress attempts.Progress) routing.Outcome {
	if progress < attempts.Sent {
		return routing.NotSent
	}
	return routing.TimedOut
}

// cacheStatusOf reads what an answer tells of its way through the caches.
func cacheStatusOf(status []byte) routing.CacheStatus { return cacheStatuses[string(status)] }

var cacheStatuses = map[string]routing.CacheStatus{
	"hit":           routing.Hit,
	"filled":        routing.Filled,
	"via_origin":    routing.FilledFromOrigin,
	"joined":        routing.JoinedFill,
	"stale":         routing.Stale,
	"src_refused":   routing.SourceRejected,
	"src_broke":     routing.SourceConnectionLost,
	"src_lacks":     routing.SourceMiss,
	"no_slot":       routing.CacheBusy,
	"origin_failed": routing.OriginFailed,
}
