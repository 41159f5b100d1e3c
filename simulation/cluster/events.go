package cluster

import "container/heap"

// event is a scheduled call or the arrival of a datagram.
type event struct {
	at       Micros
	order    uint64 // number of the event; events at the same time run in this order
	call     func() // nil: a datagram arrives
	from, to int    // routers, by index
	datagram []byte
}

// eventQueue is a binary heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event. It is called only by container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last element of the slice. It is called only by container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// push schedules an event and numbers it.
func (c *Cluster) push(e event) {
	c.eventCount++
	e.order = c.eventCount
	heap.Push(&c.events, e)
}

// Time returns the virtual time.
func (c *Cluster) Time() Micros { return c.Now }

// At schedules a call. A call for a time in the past is scheduled for the current time.
func (c *Cluster) At(at Micros, call func()) {
	c.push(event{at: max(at, c.Now), call: call})
}

// every schedules a call at the time first and then after each interval.
func (c *Cluster) every(first, interval Micros, call func()) {
	c.At(first, func() {
		call()
		c.every(c.Now+interval, interval, call)
	})
}

// Run runs the events up to and including a time, and sets Now to that time.
func (c *Cluster) Run(until Micros) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		if e.call != nil {
			e.call()
			continue
		}
		c.Nodes[e.to].receive(c.Nodes[e.from].Address, e.datagram)
		c.freeBuffers = append(c.freeBuffers, e.datagram)
	}
	c.Now = until
}
