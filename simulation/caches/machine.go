package caches

import (
	"cmp"
	"math"

	"threadrun/internal/clock"
	"threadrun/routing"
)

// The slow start of a machine. A cold machine is overloaded by more than OverloadMultiple of its capacity in a window.
const (
	SlowStartInitialShare = 0.1 // of its concurrency
	SlowStartRamp         = 15 * clock.Second
	OverloadMultiple      = 2.0
	OverloadWindow        = 1500 * clock.Millisecond
)

const (
	maxQueue       = 200 * clock.Millisecond // of waiting transfers; a machine with a longer queue rejects
	processingTime = 2 * clock.Millisecond   // of a request, in addition to its transfer
)

// Machine is a cache, a parent or the origin.
type Machine struct {
	Endpoint   routing.Endpoint // Started is in virtual time; 0: long ago
	Overloaded bool             // it got more than it can take while cold: a real machine would have failed

	hierarchy    *Hierarchy
	concurrency  float64 // concurrent transfers
	maxObjects   int
	copies       map[int]cachedCopy // by object
	fills        map[int]*fill      // running, by object
	purgedAt     map[int]Micros     // last purge carried out, by object
	busyUntil    Micros
	starts       int
	coldRequests []Micros // arrivals within OverloadWindow
}

// cachedCopy is a copy of an object.
type cachedCopy struct {
	generatedAt, lastUsed Micros
	rank                  int
}

// Restart restarts a machine: it is cold and has no copies.
func (m *Machine) Restart() {
	m.starts++
	m.copies = map[int]cachedCopy{}
	m.fills = map[int]*fill{}
	m.busyUntil = 0
	m.coldRequests = nil
	m.Overloaded = false
	m.Endpoint.Started = m.now()
}

func (m *Machine) now() Micros { return m.hierarchy.clock.Time() }

func (m *Machine) isOrigin() bool { return m.Endpoint.Tier == routing.Origin }

// availableShare is the share of its concurrency that a machine has now.
func (m *Machine) availableShare() float64 {
	if m.Endpoint.Started == 0 {
		return 1
	}
	sinceStart := float64(m.now() - m.Endpoint.Started)
	return min(SlowStartInitialShare+(1-SlowStartInitialShare)*sinceStart/float64(SlowStartRamp), 1)
}

// countRequest counts a request, and marks a cold machine as overloaded if it has got more requests than the rule on
// slow starts allows.
func (m *Machine) countRequest() {
	share := m.availableShare()
	if share >= 1 || m.isOrigin() {
		return
	}
	now := m.now()
	m.coldRequests = append(m.coldRequests, now)
	for now-m.coldRequests[0] > OverloadWindow {
		m.coldRequests = m.coldRequests[1:]
	}
	sendTime := float64(m.hierarchy.config.SendTime)
	limit := OverloadMultiple * share * m.concurrency * float64(OverloadWindow) / sendTime
	margin := 3 * math.Sqrt(limit) // three standard deviations of a Poisson count
	if float64(len(m.coldRequests)) > limit+margin+3 && !m.Overloaded {
		m.Overloaded = true
		m.hierarchy.Overloads++
	}
}

// send queues a transfer and returns the time of its end. ok is false if the queue is too long and the transfer is
// rejected.
func (m *Machine) send(sendTime Micros) (done Micros, ok bool) {
	now := m.now()
	m.busyUntil = max(m.busyUntil, now)
	if m.busyUntil-now > maxQueue {
		m.hierarchy.Rejections++
		return 0, false
	}
	m.busyUntil += Micros(float64(sendTime) / (m.concurrency * m.availableShare()))
	return max(m.busyUntil, now+sendTime) + processingTime, true
}

// lookup returns a copy that is at most maxAge old, and sets its rank. A maxAge of 0 allows any age; a rank of 0 keeps
// the copy's rank.
func (m *Machine) lookup(object int, maxAge Micros, rank int) (cachedCopy, bool) {
	found, ok := m.copies[object]
	now := m.now()
	if !ok || maxAge > 0 && now-found.generatedAt > maxAge {
		return found, false
	}
	found.lastUsed = now
	if rank > 0 {
		found.rank = rank
	}
	m.copies[object] = found
	return found, true
}

// store keeps a copy, unless it is from before a purge that has been carried out, and evicts one if there are too many.
func (m *Machine) store(object int, generatedAt Micros, rank int) {
	if purgedAt, purged := m.purgedAt[object]; purged && generatedAt <= purgedAt {
		return
	}
	m.copies[object] = cachedCopy{generatedAt: generatedAt, lastUsed: m.now(), rank: rank}
	if len(m.copies) > m.maxObjects {
		m.evict()
	}
}

// evict drops the copy of the lowest rank and, within a rank, the least recently used one.
func (m *Machine) evict() {
	victim := -1
	lowest := cachedCopy{rank: math.MaxInt, lastUsed: math.MaxInt64}
	for object, candidate := range m.copies { // the order of the map does not matter: no two compare as equal
		order := cmp.Or(
			cmp.Compare(candidate.rank, lowest.rank),
			cmp.Compare(candidate.lastUsed, lowest.lastUsed),
			cmp.Compare(object, victim),
		)
		if order < 0 {
			victim = object
			lowest = candidate
		}
	}
	delete(m.copies, victim)
}

// drop carries out a purge.
func (m *Machine) drop(object int, purgedAt Micros) {
	m.purgedAt[object] = max(purgedAt, m.purgedAt[object])
	found, ok := m.copies[object]
	if ok && found.generatedAt <= purgedAt {
		delete(m.copies, object)
	}
}
