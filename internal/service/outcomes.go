package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// outcomeOf converts an attempt's result to an outcome. NotSent and ConnectFailed require proof that the
// request did not run: otherwise a non-idempotent request could run twice.
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
	return routing.ConnectionLost // bytes that the kernel accepted may have arrived
}

// timeoutOutcome returns the outcome of an attempt that reached its deadline.
func timeoutOutcome(progress attempts.Progress) routing.Outcome {
	if progress < attempts.Sent {
		return routing.NotSent
	}
	return routing.TimedOut
}
