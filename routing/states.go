package routing

import "slices"

// requestState is where a request stands.
type requestState uint8

const (
	stateVacant requestState = iota
	stateArrived
	stateInFlight
	stateBetweenAttempts // no attempt is out, and none succeeded
	stateQueued
	stateStreaming // the answer has begun
	stateAnswered  // attempts may still be out
	stateReleased
)

var transitions = [...][]requestState{
	stateVacant:          {stateArrived},
	stateArrived:         {stateInFlight, stateQueued, stateAnswered},
	stateInFlight:        {stateBetweenAttempts, stateStreaming, stateAnswered},
	stateBetweenAttempts: {stateInFlight, stateQueued, stateAnswered},
	stateQueued:          {stateInFlight, stateAnswered},
	stateStreaming:       {stateAnswered},
	stateAnswered:        {stateReleased},
	stateReleased:        {},
}

// transition is the only code that changes a request's state. It returns false and changes
// nothing if the change is not legal: events of a request that has been answered may still come in.
func (req *request) transition(to requestState) bool {
	legal := slices.Contains(transitions[req.state], to)
	if legal {
		req.state = to
	}
	return legal
}
