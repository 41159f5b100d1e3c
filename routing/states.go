package routing

import "slices"

// requestState is the state of a request. Only transition changes it.
type requestState uint8

const (
	stateVacant requestState = iota // zero value, before RequestArrived sets a state
	stateArrived
	stateInFlight
	stateBetweenAttempts // no attempt is in flight, and none succeeded
	stateQueued
	stateStreaming // the answer has begun
	stateAnswered  // the final answer was given; attempts may still be in flight
	stateReleased
)

// transitions lists the states that may follow each state.
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

// transition moves a request to another state; no other code changes the state. If the transition is not
// legal, which is possible since events of an answered request may still arrive, it returns false and
// changes nothing.
func (req *request) transition(to requestState) bool {
	legal := slices.Contains(transitions[req.state], to)
	if legal {
		req.state = to
	}
	return legal
}
