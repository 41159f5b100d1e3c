// Package lru provides a map of limited size that removes the least recently used entry.
package lru

// Map maps 64-bit keys to values, up to a fixed capacity. It is not safe for concurrent use.
type Map[T any] struct {
	index      map[uint64]int32
	entries    []entry[T]
	head, tail int32 // head is the most recently used entry, tail the least recently used
	capacity   int
}

// entry is an element of the list of entries in order of use. prev and next are indexes into entries, or none.
type entry[T any] struct {
	key        uint64
	prev, next int32
	value      T
}

const none = int32(-1)

// New returns a Map that holds at most most values.
func New[T any](most int) *Map[T] {
	return &Map[T]{index: make(map[uint64]int32), head: none, tail: none, capacity: most}
}

// Peek returns the value of a key without marking it as used, or nil.
func (t *Map[T]) Peek(key uint64) *T {
	if i, ok := t.index[key]; ok {
		return &t.entries[i].value
	}
	return nil
}

// GetOrAdd returns the value of a key and marks it as the most recently used. If there is no value, it adds a zero
// value, and made is true. A full Map removes the least recently used value. The pointer is valid until the next
// call of GetOrAdd.
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

// Each calls f for every value, in an unspecified but deterministic order.
func (t *Map[T]) Each(f func(rec *T)) {
	for i := range t.entries {
		f(&t.entries[i].value)
	}
}

// Len returns the number of values.
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
