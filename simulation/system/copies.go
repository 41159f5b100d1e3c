package system

import "fmt"

// cachedCopy is a machine's copy of an object.
type cachedCopy struct {
	key       string
	object    int
	createdAt Micros // at the origin
	usedAt    Micros // when it was last stored or served
	rank      int    // a copy of a higher rank is kept longer
	etag      string
}

// makeCopy creates a new copy of an attempt's object, as the origin does.
func (m *machine) makeCopy(a *attempt) *cachedCopy {
	now := m.sim.world.Now()
	etag := fmt.Sprintf("%016x", uint64(now)*2654435761+uint64(len(a.objectKey))) // Knuth's multiplicative hash
	return &cachedCopy{key: a.objectKey, object: a.object, createdAt: now, usedAt: now, etag: etag}
}

// usableCopy returns the machine's copy if it is not older than maxAge and not purged, or else nil.
func (m *machine) usableCopy(key string, maxAge, now Micros) *cachedCopy {
	c := m.copies[key]
	if c == nil || now-c.createdAt > maxAge || m.sim.isPurged(c, m) {
		return nil
	}
	return c
}

// store stores a copy with a rank, unless it is purged or the stored copy is newer. If there are too many copies,
// the least recently used one of the lowest rank is evicted.
func (m *machine) store(c *cachedCopy, rank int) {
	if !m.running || m.sim.isPurged(c, m) {
		return
	}
	if o := m.copies[c.key]; o != nil && o.createdAt > c.createdAt {
		return
	}
	stored := *c
	stored.rank = rank
	stored.usedAt = m.sim.world.Now()
	m.copies[c.key] = &stored
	if len(m.copies) > m.maxCopies {
		m.evict()
	}
}

// evict deletes the copy that is first in the order of evictedBefore.
func (m *machine) evict() {
	var first *cachedCopy
	for _, c := range m.copies {
		if first == nil || c.evictedBefore(first) {
			first = c
		}
	}
	delete(m.copies, first.key)
}

// evictedBefore reports whether c is evicted before o. It is a total order, so that the result of evict does not
// depend on the map's order of iteration.
func (c *cachedCopy) evictedBefore(o *cachedCopy) bool {
	if c.rank != o.rank {
		return c.rank < o.rank
	}
	if c.usedAt != o.usedAt {
		return c.usedAt < o.usedAt
	}
	return c.key < o.key
}
