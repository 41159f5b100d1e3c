package service

import (
	"threadrun/decide"
	"threadrun/internal/attempts"
)

// ending words the end of a trip for the module. Only what proves that no whole request arrived may say so: a
// one-shot visit is sent again on its word.
func ending(e *attempts.End) decide.Ending {
	switch e.Word {
	case attempts.Data, attempts.Unchanged:
		return decide.Delivered
	case attempts.Absent:
		return decide.Lacking
	case attempts.Full:
		return decide.Refused
	case attempts.Moot:
		return decide.NeverSent
	case attempts.Failed, attempts.Unknown:
		return decide.Failed
	}
	if plant == plantRepeat {
		return decide.NeverSent
	}
	switch e.Fault.Reach {
	case attempts.Unconnected:
		return decide.NoRoute
	case attempts.Unsent, attempts.PartSent:
		return decide.NeverSent
	}
	return decide.Broken // bytes that the kernel took may have arrived
}

// silence words the end of a trip that ran out of time.
func silence(r attempts.Reach) decide.Ending {
	if r < attempts.Sent {
		return decide.NeverSent
	}
	return decide.TooSlow
}

// noted reads the note of an answer.
func noted(note []byte) decide.Trace { return traces[string(note)] }

var traces = map[string]decide.Trace{"hit": decide.Hit, "filled": decide.Filled, "via_origin": decide.FilledByOrigin,
	"joined": decide.Joined, "stale": decide.PastFresh, "src_refused": decide.SourceRefused,
	"src_broke": decide.SourceLost, "src_lacks": decide.SourceLacks, "no_slot": decide.NoPlace,
	"origin_failed": decide.OriginFailed}
