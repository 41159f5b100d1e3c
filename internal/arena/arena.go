// Package arena stores records in slots that are reused. Handles identify the records; a handle becomes invalid when
// its record is freed, even if the slot is reused for another record.
package arena

// Handle identifies a record from Allocate until Free. It consists of the slot's generation in the upper 32 bits and
// its index in the lower 32. The zero Handle is invalid, because generations start at 1.
type Handle uint64

// Arena stores records of one type. The zero value is empty. It is not safe for concurrent use.
type Arena[T any] struct {
	slots []slot[T]
	free  []uint32 // indexes of the slots that are not in use
	used  int      // number of slots in use
}

// slot holds one record. Its generation is incremented by each allocation, so that earlier handles stay invalid.
type slot[T any] struct {
	generation uint32
	inUse      bool
	record     T
}

// Allocate adds a zero record and returns its handle and the record. The pointer is valid until the next call of
// Allocate, which may move the records.
func (a *Arena[T]) Allocate() (Handle, *T) {
	var index uint32
	if n := len(a.free); n > 0 {
		index, a.free = a.free[n-1], a.free[:n-1]
	} else {
		index = uint32(len(a.slots))
		a.slots = append(a.slots, slot[T]{})
	}
	s := &a.slots[index]
	s.generation++
	s.inUse = true
	var zero T
	s.record = zero
	a.used++
	return Handle(s.generation)<<32 | Handle(index), &s.record
}

// Get returns the record with a handle, or nil if it has been freed. The pointer is valid until the next call of
// Allocate.
func (a *Arena[T]) Get(h Handle) *T {
	index := uint32(h)
	if int(index) >= len(a.slots) {
		return nil
	}
	s := &a.slots[index]
	if !s.inUse || s.generation != uint32(h>>32) {
		return nil
	}
	return &s.record
}

// Free removes a record and makes its slot available to Allocate. It ignores invalid handles.
func (a *Arena[T]) Free(h Handle) {
	if a.Get(h) == nil {
		return
	}
	a.slots[uint32(h)].inUse = false
	a.free = append(a.free, uint32(h))
	a.used--
}

// Len returns the number of records.
func (a *Arena[T]) Len() int { return a.used }

// Index returns the index of a handle's slot. Valid handles of an Arena have distinct indexes.
func (h Handle) Index() int { return int(uint32(h)) }
