// Package arena keeps records in reused places under handles that go stale when a place is freed.
package arena

// Handle names one record for as long as it lives: a place and the count of its uses.
type Handle uint64

// Arena holds records of one type. The zero value is ready for use.
type Arena[T any] struct {
	slots []slot[T]
	free  []uint32
	used  int
}

type slot[T any] struct {
	generation uint32
	inUse      bool
	record     T
}

// Allocate gives out a zeroed record and its handle. The pointer is good until the next Take.
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

// Get finds the record of a handle, or nil if it has been freed.
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

// Free gives the place back; a stale handle is ignored.
func (s *Arena[T]) Free(h Handle) {
	if s.Get(h) == nil {
		return
	}
	s.slots[uint32(h)].inUse = false
	s.free = append(s.free, uint32(h))
	s.used--
}

// Len counts the live records.
func (s *Arena[T]) Len() int { return s.used }

// Index is the index that a handle's record lives at; live handles have distinct places.
func (h Handle) Index() int { return int(uint32(h)) }
