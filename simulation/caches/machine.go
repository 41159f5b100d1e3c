package caches

import (
	"cmp"
	"math"

	"threadrun/internal/clock"
	"threadrun/routing"
)

// Parameters of the slow start of a machine. The capacity of a restarted machine rises linearly from
// SlowStartInitialShare to all of its concurrency within SlowStartRamp. A machine in this phase is cold, and is
// overloaded by more requests within OverloadWindow than OverloadMultiple times its current capacity.
const (
	SlowStartInitialShare = 0.1
	SlowStartRamp         = 15 * clock.Second
	OverloadMultiple      = 2.0
	OverloadWindow        = 1500 * clock.Millisecond
)

const (
	maxQueue       = 200 * clock.Millisecond // maximum wait of a transfer; a machine with a longer queue rejects
	processingTime = 2 * clock.Millisecond   // per request, in addition to its transfer
)

// Machine is a cache, a parent or the origin.
type Machine struct {
	Endpoint   routing.Endpoint // Started is in virtual time; 0: the machine has not restarted
	Overloaded bool             // it was overloaded while cold, so that a real machine would have failed

	hierarchy    *Hierarchy
	concurrency  float64            // concurrent transfers at full capacity
	maxObjects   int                // maximum number of copies
	copies       map[int]cachedCopy // by object
	fills        map[int]*fill      // running, by object; of several for one object, the last
	purgedAt     map[int]Micros     // time of the last purge that was carried out, by object
	busyUntil    Micros             // end of the last queued transfer
	incarnation  int                // number of restarts so far
	coldRequests []Micros           // arrivals within OverloadWindow while the machine was cold
}

// cachedCopy is the copy of an object that a machine keeps.
type cachedCopy struct {
	createdAt, lastUsed Micros
	rank                int // copies of a lower rank are evicted first
}

// Restart restarts a machine, which is then cold and has no copies. Its running attempts end with
// routing.ConnectionLost; the results of its running fills are not stored.
func (m *Machine) Restart() {
	m.incarnation++
	m.copies = map[int]cachedCopy{}
	m.fills = map[int]*fill{}
	m.busyUntil = 0
	m.coldRequests = nil
	m.Overloaded = false
	m.Endpoint.Started = m.now()
}

func (m *Machine) now() Micros { return m.hierarchy.clock.Time() }

func (m *Machine) isOrigin() bool { return m.Endpoint.Tier == routing.Origin }

// capacityShare returns the share of its concurrency that a machine has now.
func (m *Machine) capacityShare() float64 {
	if m.Endpoint.Started == 0 {
		return 1
	}
	sinceStart := float64(m.now() - m.Endpoint.Started)
	return min(SlowStartInitialShare+(1-SlowStartInitialShare)*sinceStart/float64(SlowStartRamp), 1)
}

// countRequest counts a request to a cold machine, and marks the machine as overloaded if it has received more requests
// within OverloadWindow than the slow start allows, with a margin for random variation. The origin is never overloaded.
func (m *Machine) countRequest() {
	share := m.capacityShare()
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

// queueTransfer queues a transfer and returns the time of its end. ok is false if the transfer is rejected because the
// queue is too long.
func (m *Machine) queueTransfer(sendTime Micros) (done Micros, ok bool) {
	now := m.now()
	m.busyUntil = max(m.busyUntil, now)
	if m.busyUntil-now > maxQueue {
		m.hierarchy.Rejections++
		return 0, false
	}
	m.busyUntil += Micros(float64(sendTime) / (m.concurrency * m.capacityShare()))
	return max(m.busyUntil, now+sendTime) + processingTime, true
}

// lookup returns the copy of an object if it is at most maxAge old, and records its use and its new rank. A maxAge of 0
// allows any age; a rank of 0 keeps the copy's rank.
func (m *Machine) lookup(object int, maxAge Micros, rank int) (cachedCopy, bool) {
	found, ok := m.copies[object]
	now := m.now()
	if !ok || maxAge > 0 && now-found.createdAt > maxAge {
		return found, false
	}
	found.lastUsed = now
	if rank > 0 {
		found.rank = rank
	}
	m.copies[object] = found
	return found, true
}

// store keeps a copy, unless it was created before a purge of the object that the machine has carried out, and evicts
// a copy if there are too many.
func (m *Machine) store(object int, createdAt Micros, rank int) {
	if purgedAt, purged := m.purgedAt[object]; purged && createdAt <= purgedAt {
		return
	}
	m.copies[object] = cachedCopy{createdAt: createdAt, lastUsed: m.now(), rank: rank}
	if len(m.copies) > m.maxObjects {
		m.evict()
	}
}

// evict drops the copy of the lowest rank and, within a rank, the least recently used one.
func (m *Machine) evict() {
	victim := -1
	lowest := cachedCopy{rank: math.MaxInt, lastUsed: math.MaxInt64}
	for object, candidate := range m.copies { // the order of the map does not matter, as no two copies compare equal
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

// applyPurge carries out a purge: it removes the object's copy if that is not newer than the purge, and keeps such
// copies from being stored by fills that end later.
func (m *Machine) applyPurge(object int, purgedAt Micros) {
	m.purgedAt[object] = max(purgedAt, m.purgedAt[object])
	found, ok := m.copies[object]
	if ok && found.createdAt <= purgedAt {
		delete(m.copies, object)
	}
}
