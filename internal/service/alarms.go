package service

import (
	"threadrun/internal/attempts"
	"threadrun/routing"
)

// alarm is a moment at which something is due: a trip's limit, or with no visit one of the module's wakes.
type alarm struct {
	at   routing.Micros
	trip attempts.AttemptID
	wake bool
}

// alarms is a heap, the earliest first. Alarms are never taken out: one that is no longer needed is passed over.
type alarms []alarm

func (h *alarms) push(a alarm) {
	s := append(*h, a)
	i := len(s) - 1
	for i > 0 && s[(i-1)/2].at > s[i].at {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
		i = (i - 1) / 2
	}
	*h = s
}

func (h *alarms) pop() alarm {
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
