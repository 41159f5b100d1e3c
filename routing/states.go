package routing

import "slices"

// requestState is the state of a request. Changes go through transition only.
type requestState uint8

const (
	stateVacant requestState = iota
	stateArrived
	stateInFlight
	stateBetweenAttempts // no attempt is in flight, and none succeeded
	stateQueued
	stateStreaming // the answer has begun
	stateAnswered  // the final answer was given; attempts may still be in flight
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

// transition moves a request to another state. It is the only code that changes the state. It returns false
// and changes nothing if the change is not legal: events of an answered request may still arrive.
func (req *request) transition(to requestState) bool {
	legal := slices.Contains(transitions[req.state], to)
	if legal {
		req.state = to
	}
	return legal
}
