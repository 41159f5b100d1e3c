package lease

import (
	"errors"
	"fmt"

	"threadrun/internal/hash"
)

// Kind is a kind of work that routers share.
type Kind uint8

// The kinds. A kind belongs here only if doing its work twice, or by two routers at once, harms nobody: terms and
// membership bound how long two routers work on one duty, but nothing here makes it impossible.
const (
	noKind   Kind = iota
	Renewing      // of ageing copies
	Probing       // of caches
	lastKind = Probing
)

var kinds = [...]struct{ name, doubled string }{
	{}, {"renewing", "one more fill of a copy, a few bytes where it has not changed"},
	{"probing", "one more probe of a cache, half a millisecond of its work"},
}

func (k Kind) String() string { return kinds[k].name }

// Doubled names what a second run of such work costs.
func (k Kind) Doubled() string { return kinds[k].doubled }

// ErrNotHarmless refuses work that must not be done twice.
var ErrNotHarmless = errors.New("duties: only harmless work can be shared")

// Work is a piece of shared work. It can be made by NewWork alone, so whoever has one has work that may run twice.
type Work struct {
	kind Kind
	key  uint64
}

// NewWork is the one place where work is let in to be shared. Harmless is what is known of its effect: a repeat changes
// nothing anywhere. Key names what it is done to.
func NewWork(k Kind, key uint64, harmless bool) (Work, error) {
	if k == noKind || k > lastKind {
		return Work{}, fmt.Errorf("%w: kind %d is not among them", ErrNotHarmless, k)
	}
	if !harmless {
		return Work{}, fmt.Errorf("%w: %v of %x", ErrNotHarmless, k, key)
	}
	return Work{k, key}, nil
}

// Kind is the kind of a piece of work; that of the zero Work is none.
func (w Work) Kind() Kind { return w.kind }

// Key names what it is done to.
func (w Work) Key() uint64 { return w.key }

// Valid tells whether it was let in.
func (w Work) Valid() bool { return w.kind != noKind }

// Shares says into how many duties each kind of work is divided. All routers that share must say the same.
type Shares struct{ Renewing, Probing int }

// All is how many duties there are.
func (s Shares) All() int { return s.Renewing + s.Probing }

// Of finds the duty that a piece of work belongs to.
func (s Shares) Of(w Work) (No, bool) {
	switch {
	case w.kind == Renewing && s.Renewing > 0:
		return No(hash.Pair(w.key, 0) % uint64(s.Renewing)), true
	case w.kind == Probing && s.Probing > 0:
		return No(s.Renewing) + No(hash.Pair(w.key, 0)%uint64(s.Probing)), true
	}
	return 0, false
}
