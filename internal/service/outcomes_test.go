package service

import (
	"io"
	"testing"

	"threadrun/internal/attempts"
	"threadrun/routing"
)

// An outcome that permits a retry of a non-idempotent request must be returned only for results which prove that the
// request did not run.
func TestOutcomes(t *testing.T) {
	lost := func(p attempts.Progress) *attempts.Result {
		return &attempts.Result{Err: &attempts.Error{Progress: p, Err: io.EOF}}
	}
	status := func(s attempts.Status) *attempts.Result { return &attempts.Result{Status: s} }
	for _, c := range []struct {
		name   string
		result *attempts.Result
		want   routing.Outcome
	}{
		{"not connected", lost(attempts.NotConnected), routing.ConnectFailed},
		{"not sent", lost(attempts.NotSent), routing.NotSent},
		{"partly sent", lost(attempts.PartlySent), routing.NotSent},
		{"sent", lost(attempts.Sent), routing.ConnectionLost},
		{"response started", lost(attempts.ResponseStarted), routing.ConnectionLost},
		{"expired", status(attempts.Expired), routing.NotSent},
		{"unknown status", status(attempts.Unknown), routing.Failed},
		{"overloaded", status(attempts.Overloaded), routing.Rejected},
		{"not found", status(attempts.NotFound), routing.CacheMiss},
		{"not modified", status(attempts.NotModified), routing.Succeeded},
	} {
		if got := outcomeOf(c.result); got != c.want {
			t.Errorf("%s: outcome %v, want %v", c.name, got, c.want)
		}
	}
	if timeoutOutcome(attempts.PartlySent) != routing.NotSent || timeoutOutcome(attempts.Sent) != routing.TimedOut {
		t.Errorf("outcome of a timeout: %v for a request sent in part, want %v; %v for one that was sent, want %v",
			timeoutOutcome(attempts.PartlySent), routing.NotSent, timeoutOutcome(attempts.Sent), routing.TimedOut)
	}
}
