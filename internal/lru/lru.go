// Package lru is a bounded map that drops what was touched longest ago.
package lru

// Table maps 64-bit keys to records, at most as many as it was made for.
type Table[T any] struct {
	at         map[uint64]int32
	rows       []row[T]
	head, tail int32 // head: touched last; tail: touched longest ago
	most       int
}

type row[T any] struct {
	key        uint64
	prev, next int32
	rec        T
}

const none = int32(-1)

// New makes a table for the given number of records.
func New[T any](most int) *Table[T] {
	return &Table[T]{at: make(map[uint64]int32), head: none, tail: none, most: most}
}

// Peek finds a record without touching it, or nil.
func (t *Table[T]) Peek(key uint64) *T {
	if i, ok := t.at[key]; ok {
		return &t.rows[i].rec
	}
	return nil
}

// Touch finds or makes the record of a key and marks it as touched last; made tells which.
// A full table drops the record touched longest ago. The pointer is good until the next Touch.
func (t *Table[T]) Touch(key uint64) (rec *T, made bool) {
	i, ok := t.at[key]
	switch {
	case ok:
		t.unlink(i)
	case len(t.rows) < t.most:
		i = int32(len(t.rows))
		t.rows = append(t.rows, row[T]{key: key})
		t.at[key] = i
	default:
		i = t.tail
		t.unlink(i)
		delete(t.at, t.rows[i].key)
		t.rows[i] = row[T]{key: key}
		t.at[key] = i
	}
	r := &t.rows[i]
	r.prev, r.next = none, t.head
	if t.head != none {
		t.rows[t.head].prev = i
	}
	t.head = i
	if t.tail == none {
		t.tail = i
	}
	return &r.rec, !ok
}

// Each calls f for every record, in the order of their places.
func (t *Table[T]) Each(f func(rec *T)) {
	for i := range t.rows {
		f(&t.rows[i].rec)
	}
}

// Len counts the records.
func (t *Table[T]) Len() int { return len(t.rows) }

func (t *Table[T]) unlink(i int32) {
	r := &t.rows[i]
	if r.prev != none {
		t.rows[r.prev].next = r.next
	} else {
		t.head = r.next
	}
	if r.next != none {
		t.rows[r.next].prev = r.prev
	} else {
		t.tail = r.prev
	}
}
