package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// timer is a time at which something is due: an attempt's deadline, or the router's timer.
type timer struct {
	at        routing.Micros
	attempt   attempts.AttemptID
	forRouter bool
}

// timerHeap is a binary heap, the earliest timer first. Timers are never removed: one that is no longer needed finds
// its attempt ended.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	*h = append(*h, t)
	heap := *h
	for child := len(heap) - 1; child > 0; {
		parent := (child - 1) / 2
		if heap[parent].at <= heap[child].at {
			return
		}
		heap[parent], heap[child] = heap[child], heap[parent]
		child = parent
	}
}

func (h *timerHeap) pop() timer {
	heap := *h
	first := heap[0]
	last := len(heap) - 1
	heap[0] = heap[last]
	heap = heap[:last]
	*h = heap
	for parent := 0; ; {
		earliest := heap.earliestOf(parent)
		if earliest == parent {
			return first
		}
		heap[parent], heap[earliest] = heap[earliest], heap[parent]
		parent = earliest
	}
}

// earliestOf finds the earliest of a timer and its two children.
func (h timerHeap) earliestOf(parent int) int {
	earliest := parent
	for child := 2*parent + 1; child <= 2*parent+2 && child < len(h); child++ {
		if h[child].at < h[earliest].at {
			earliest = child
		}
	}
	return earliest
}
