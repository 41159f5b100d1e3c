package network

// event is a scheduled call.
type event struct {
	at    Micros
	order uint64 // among events of the same time
	run   func()
}

func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.order < o.order
}

// queue is a binary heap of events, the earliest first.
type queue []event

func (q *queue) push(e event) {
	*q = append(*q, e)
	s := *q
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !s[i].before(&s[parent]) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func (q *queue) pop() event {
	s := *q
	first := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s[last] = event{}
	*q = s[:last]
	q.siftDown()
	return first
}

// siftDown restores the order of the heap after its first event was replaced.
func (q *queue) siftDown() {
	s := *q
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s); child++ {
			if s[child].before(&s[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
}
