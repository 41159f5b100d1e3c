package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// outcomeOf converts the result of an attempt to the Router's outcome. NotSent and ConnectFailed require proof that
// the request did not run: after these outcomes the Router retries it, and a non-idempotent request must not run
// twice.
func outcomeOf(result *attempts.Result) routing.Outcome {
	switch result.Status {
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
	if retryAfterConnectionLoss() { // a failpoint, see failpoint.go
		return routing.NotSent
	}
	switch result.Err.Progress {
	case attempts.NotConnected:
		return routing.ConnectFailed
	case attempts.NotSent, attempts.PartlySent:
		return routing.NotSent
	}
	return routing.ConnectionLost // the kernel accepted the whole request, so the cache may have received it
}

// timeoutOutcome returns the outcome of an attempt that was canceled at its deadline or during a shutdown. progress
// is its progress until then.
func timeoutOutcome(progress attempts.Progress) routing.Outcome {
	if progress < attempts.Sent {
		return routing.NotSent
	}
	return routing.TimedOut
}
