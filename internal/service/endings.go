package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// ending words the end of a trip for the module. Only what proves that no whole request arrived may say so: a
// one-shot visit is sent again on its word.
func ending(e *attempts.End) routing.Ending {
	switch e.Word {
	case attempts.Data, attempts.Unchanged:
		return routing.Delivered
	case attempts.Absent:
		return routing.Lacking
	case attempts.Full:
		return routing.Refused
	case attempts.Moot:
		return routing.NeverSent
	case attempts.Failed, attempts.Unknown:
		return routing.Failed
	}
	if plant == plantRepeat {
		return routing.NeverSent
	}
	switch e.Fault.Reach {
	case attempts.Unconnected:
		return routing.NoRoute
	case attempts.Unsent, attempts.PartSent:
		return routing.NeverSent
	}
	return routing.Broken // bytes that the kernel took may have arrived
}

// silence words the end of a trip that ran out of time.
func silence(r attempts.Reach) routing.Ending {
	if r < attempts.Sent {
		return routing.NeverSent
	}
	return routing.TooSlow
}

// noted reads the note of an answer.
func noted(note []byte) routing.Trace { return traces[string(note)] }

var traces = map[string]routing.Trace{"hit": routing.Hit, "filled": routing.Filled, "via_origin": routing.FilledByOrigin,
	"joined": routing.Joined, "stale": routing.PastFresh, "src_refused": routing.SourceRefused,
	"src_broke": routing.SourceLost, "src_lacks": routing.SourceLacks, "no_slot": routing.NoPlace,
	"origin_failed": routing.OriginFailed}
