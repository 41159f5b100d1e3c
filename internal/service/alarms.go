package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// timer is a moment at which something is due: a trip's limit, or with no visit one of the module's wakes.
type timer struct {
	at        routing.Micros
	attempt   attempts.AttemptID
	forRouter bool
}

// timerHeap is a heap, the earliest first. Alarms are never taken out: one that is no longer needed is passed over.
type timerHeap []timer

func (h *timerHeap) push(a timer) {
	s := append(*h, a)
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].at > s[i].at {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
		i = (i - 1) / 2
	}
	*h = s
}

func (h *timerHeap) pop() timer {
	s := *h
	first := s[0]
	n := len(s) - 1
	s[0] = s[n]
	s = s[:n]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < n; c++ {
			if s[c].at < s[least].at {
				least = c
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	*h = s
	return first
}
