// Package arena keeps records in reused places under handles that go stale when a place is freed.
package arena

// Handle names one record for as long as it lives: a place and the count of its uses.
type Handle uint64

// Slab holds records of one type. The zero value is ready for use.
type Slab[T any] struct {
	cells []cell[T]
	free  []uint32
	live  int
}

type cell[T any] struct {
	use  uint32
	held bool
	rec  T
}

// Take gives out a zeroed record and its handle. The pointer is good until the next Take.
func (s *Slab[T]) Take() (Handle, *T) {
	var at uint32
	if n := len(s.free); n > 0 {
		at, s.free = s.free[n-1], s.free[:n-1]
	} else {
		at = uint32(len(s.cells))
		s.cells = append(s.cells, cell[T]{})
	}
	c := &s.cells[at]
	c.use++
	c.held = true
	var zero T
	c.rec = zero
	s.live++
	return Handle(c.use)<<32 | Handle(at), &c.rec
}

// Get finds the record of a handle, or nil if it has been freed.
func (s *Slab[T]) Get(h Handle) *T {
	at := uint32(h)
	if int(at) >= len(s.cells) {
		return nil
	}
	c := &s.cells[at]
	if !c.held || c.use != uint32(h>>32) {
		return nil
	}
	return &c.rec
}

// Free gives the place back; a stale handle is ignored.
func (s *Slab[T]) Free(h Handle) {
	if s.Get(h) == nil {
		return
	}
	s.cells[uint32(h)].held = false
	s.free = append(s.free, uint32(h))
	s.live--
}

// Len counts the live records.
func (s *Slab[T]) Len() int { return s.live }

// Place is the index that a handle's record lives at; live handles have distinct places.
func (h Handle) Place() int { return int(uint32(h)) }
