package network

import "threadrun/internal/minheap"

// event is a scheduled call.
type event struct {
	at    Micros
	order uint64 // among events of the same time
	run   func()
}

// Before orders events by time, and those at the same time by the order in which they were added.
func (e *event) Before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// eventHeap holds the earliest event first.
type eventHeap = minheap.Heap[event, *event]
