package network

import "threadrun/internal/minheap"

// event is a scheduled call.
type event struct {
	at       Micros
	sequence uint64 // orders events of the same time
	run      func()
}

// Before orders events by time, and events of the same time by the order in which they were scheduled.
func (e *event) Before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventHeap is a queue of events, ordered by event.Before.
type eventHeap = minheap.Heap[event, *event]
