// Package random generates pseudo-random numbers from a seed and a counter. Equal seeds generate equal sequences on
// any machine.
package random

import (
	"encoding/binary"
	"hash/crc32"

	"threadrun/internal/hash"
)

// Source is a generator of pseudo-random numbers. Its complete state is the seed and the count of numbers drawn so
// far. It is not safe for concurrent use.
type Source struct{ Seed, Drawn uint32 }

// Uint64 returns a pseudo-random 64-bit number. A CRC alone would be linear: sources with different seeds would
// generate sequences that differ only by a constant, and routers would pick the same peers at the same time.
func (s *Source) Uint64() uint64 {
	s.Drawn++
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], s.Seed)
	binary.BigEndian.PutUint32(b[4:], s.Drawn)
	return hash.Combine(uint64(crc32.ChecksumIEEE(b[:])), uint64(s.Drawn)<<32|uint64(s.Seed))
}

// Float64 returns a pseudo-random number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }

// IntN returns a pseudo-random number in [0, n). n must be positive. The bias of the modulo is negligible while n is
// far below 2^64.
func (s *Source) IntN(n int) int { return int(s.Uint64() % uint64(n)) }

// Shuffle shuffles n elements. swap exchanges the elements with indexes i and j.
func (s *Source) Shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, s.IntN(i+1))
	}
}
