package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// outcomeOf words the end of a trip for the module. Only what proves that no whole request arrived may say so: a
// one-shot visit is sent again on its word.
func outcomeOf(e *attempts.Result) routing.Outcome {
	switch e.Status {
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
	if plant == plantRepeat {
		return routing.NotSent
	}
	switch e.Err.Progress {
	case attempts.NotConnected:
		return routing.ConnectFailed
	case attempts.NotSent, attempts.PartlySent:
		return routing.NotSent
	}
	return routing.ConnectionLost // bytes that the kernel took may have arrived
}

// timeoutOutcome words the end of a trip that ran out of time.
func timeoutOutcome(r attempts.Progress) routing.Outcome {
	if r < attempts.Sent {
		return routing.NotSent
	}
	return routing.TimedOut
}

// cacheStatusOf reads the note of an answer.
func cacheStatusOf(note []byte) routing.CacheStatus { return cacheStatuses[string(note)] }

var cacheStatuses = map[string]routing.CacheStatus{"hit": routing.Hit, "filled": routing.Filled, "via_origin": routing.FilledFromOrigin,
	"joined": routing.JoinedFill, "stale": routing.Stale, "src_refused": routing.SourceRejected,
	"src_broke": routing.SourceConnectionLost, "src_lacks": routing.SourceMiss, "no_slot": routing.CacheBusy,
	"origin_failed": routing.OriginFailed}
