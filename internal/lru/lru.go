// Package lru is a bounded map that drops what was touched longest ago.
package lru

// Map maps 64-bit keys to records, at most as many as it was made for.
type Map[T any] struct {
	index      map[uint64]int32
	entries    []entry[T]
	head, tail int32 // head: touched last; tail: touched longest ago
	capacity   int
}

type entry[T any] struct {
	key        uint64
	prev, next int32
	value      T
}

const none = int32(-1)

// New makes a table for the given number of records.
func New[T any](most int) *Map[T] {
	return &Map[T]{index: make(map[uint64]int32), head: none, tail: none, capacity: most}
}

// Peek finds a record without touching it, or nil.
func (t *Map[T]) Peek(key uint64) *T {
	if i, ok := t.index[key]; ok {
		return &t.entries[i].value
	}
	return nil
}

// GetOrAdd finds or makes the record of a key and marks it as touched last; made tells which.
// A full table drops the record touched longest ago. The pointer is good until the next Touch.
func (t *Map[T]) GetOrAdd(key uint64) (rec *T, made bool) {
	i, ok := t.index[key]
	switch {
	case ok:
		t.unlink(i)
	case len(t.entries) < t.capacity:
		i = int32(len(t.entries))
		t.entries = append(t.entries, entry[T]{key: key})
		t.index[key] = i
	default:
		i = t.tail
		t.unlink(i)
		delete(t.index, t.entries[i].key)
		t.entries[i] = entry[T]{key: key}
		t.index[key] = i
	}
	r := &t.entries[i]
	r.prev, r.next = none, t.head
	if t.head != none {
		t.entries[t.head].prev = i
	}
	t.head = i
	if t.tail == none {
		t.tail = i
	}
	return &r.value, !ok
}

// Each calls f for every record, in the order of their places.
func (t *Map[T]) Each(f func(rec *T)) {
	for i := range t.entries {
		f(&t.entries[i].value)
	}
}

// Len counts the records.
func (t *Map[T]) Len() int { return len(t.entries) }

func (t *Map[T]) unlink(i int32) {
	r := &t.entries[i]
	if r.prev != none {
		t.entries[r.prev].next = r.next
	} else {
		t.head = r.next
	}
	if r.next != none {
		t.entries[r.next].prev = r.prev
	} else {
		t.tail = r.prev
	}
}
