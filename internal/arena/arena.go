// Package arena stores records in reused slots, identified by handles that become invalid when their slot is freed.
package arena

// Handle identifies a record from Allocate until Free. It consists of the slot's index and generation.
type Handle uint64

// Arena stores records of one type. The zero value is empty. It is not safe for concurrent use.
type Arena[T any] struct {
	slots []slot[T]
	free  []uint32
	used  int
}

// slot holds one record. Its generation grows with each allocation, so that old handles become invalid.
type slot[T any] struct {
	generation uint32
	inUse      bool
	record     T
}

// Allocate returns the handle of a new zeroed record, and the record. The pointer is valid until the next call of
// Allocate.
func (s *Arena[T]) Allocate() (Handle, *T) {
	var at uint32
	if n := len(s.free); n > 0 {
		at, s.free = s.free[n-1], s.free[:n-1]
	} else {
		at = uint32(len(s.slots))
		s.slots = append(s.slots, slot[T]{})
	}
	c := &s.slots[at]
	c.generation++
	c.inUse = true
	var zero T
	c.record = zero
	s.used++
	return Handle(c.generation)<<32 | Handle(at), &c.record
}

// Get returns the record with a handle, or nil if it has been freed.
func (s *Arena[T]) Get(h Handle) *T {
	at := uint32(h)
	if int(at) >= len(s.slots) {
		return nil
	}
	c := &s.slots[at]
	if !c.inUse || c.generation != uint32(h>>32) {
		return nil
	}
	return &c.record
}

// Free frees a record's slot for reuse. It ignores invalid handles.
func (s *Arena[T]) Free(h Handle) {
	if s.Get(h) == nil {
		return
	}
	s.slots[uint32(h)].inUse = false
	s.free = append(s.free, uint32(h))
	s.used--
}

// Len returns the number of records.
func (s *Arena[T]) Len() int { return s.used }

// Index returns the index of a handle's slot. Valid handles have distinct indexes.
func (h Handle) Index() int { return int(uint32(h)) }
