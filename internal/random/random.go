// Package random draws numbers from a seed and a counter: the same seed draws the same numbers, on any machine.
package random

import (
	"encoding/binary"
	"hash/crc32"

	"threadrun/internal/hash"
)

// Source is where draws come from. Its two numbers are its whole state.
type Source struct{ Seed, Drawn uint32 }

// Uint64 draws 64 bits. A CRC alone is linear: sources with different seeds would draw the same numbers but for one
// constant, and routers that pick peers by them would pick in step.
func (s *Source) Uint64() uint64 {
	s.Drawn++
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], s.Seed)
	binary.BigEndian.PutUint32(b[4:], s.Drawn)
	return hash.Combine(uint64(crc32.ChecksumIEEE(b[:])), uint64(s.Drawn)<<32|uint64(s.Seed))
}

// Float64 draws from 0 up to 1.
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// IntN draws a whole number from 0 up to n, which is above 0.
func (s *Source) IntN(n int) int { return int(s.Uint64() % uint64(n)) }

// Shuffle puts n things into an order by chance.
func (s *Source) Shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, s.IntN(i+1))
	}
}
