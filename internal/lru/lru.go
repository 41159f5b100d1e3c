// Package lru provides a map of limited size, which replaces its least recently used entry when it is full.
package lru

// Map maps 64-bit keys to values, up to a fixed capacity. It is not safe for concurrent use.
type Map[T any] struct {
	index      map[uint64]int32 // indexes into entries
	entries    []entry[T]
	head, tail int32 // indexes of the most and the least recently used entry, or none
	capacity   int
}

// entry is an element of a doubly linked list in order of use, the most recently used entry first. prev and next are
// indexes into entries, or none.
type entry[T any] struct {
	key        uint64
	prev, next int32
	value      T
}

const none = int32(-1)

// New returns an empty Map that holds at most maxEntries values. maxEntries must be positive.
func New[T any](maxEntries int) *Map[T] {
	return &Map[T]{index: make(map[uint64]int32), head: none, tail: none, capacity: maxEntries}
}

// Peek returns the value of a key without marking it as used, or nil if there is none. The pointer is valid until the
// next call of GetOrAdd.
func (m *Map[T]) Peek(key uint64) *T {
	if i, ok := m.index[key]; ok {
		return &m.entries[i].value
	}
	return nil
}

// GetOrAdd returns the value of a key and marks it as the most recently used. If there is no value, it adds a zero
// value, and added is true; a full Map removes its least recently used value first. The pointer is valid until the
// next call of GetOrAdd.
func (m *Map[T]) GetOrAdd(key uint64) (v *T, added bool) {
	i, ok := m.index[key]
	switch {
	case ok:
		m.unlink(i)
	case len(m.entries) < m.capacity:
		i = int32(len(m.entries))
		m.entries = append(m.entries, entry[T]{key: key})
		m.index[key] = i
	default:
		i = m.tail
		m.unlink(i)
		delete(m.index, m.entries[i].key)
		m.entries[i] = entry[T]{key: key}
		m.index[key] = i
	}
	e := &m.entries[i]
	e.prev, e.next = none, m.head
	if m.head != none {
		m.entries[m.head].prev = i
	}
	m.head = i
	if m.tail == none {
		m.tail = i
	}
	return &e.value, !ok
}

// Each calls f for every value. The order is deterministic but not that of use.
func (m *Map[T]) Each(f func(v *T)) {
	for i := range m.entries {
		f(&m.entries[i].value)
	}
}

// Len returns the number of values.
func (m *Map[T]) Len() int { return len(m.entries) }

// unlink removes entry i from the list, but not from the index.
func (m *Map[T]) unlink(i int32) {
	e := &m.entries[i]
	if e.prev != none {
		m.entries[e.prev].next = e.next
	} else {
		m.head = e.next
	}
	if e.next != none {
		m.entries[e.next].prev = e.prev
	} else {
		m.tail = e.prev
	}
}
