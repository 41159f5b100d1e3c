// Package random draws numbers from a seed and a counter: the same seed draws the same numbers, on any machine.
package random

import (
	"encoding/binary"
	"hash/crc32"

	"threadrun/internal/hash"
)

// Source is where draws come from. Its two numbers are its whole state.
type Source struct{ Seed, Drawn uint32 }

// Next draws 64 bits. A CRC alone is linear: sources with different seeds would draw the same numbers but for one
// constant, and routers that pick peers by them would pick in step.
func (s *Source) Next() uint64 {
	s.Drawn++
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], s.Seed)
	binary.BigEndian.PutUint32(b[4:], s.Drawn)
	return hash.Pair(uint64(crc32.ChecksumIEEE(b[:])), uint64(s.Drawn)<<32|uint64(s.Seed))
}

// Share draws from 0 up to 1.
func (s *Source) Share() float64 { return float64(s.Next()>>11) / (1 << 53) }

// Below draws a whole number from 0 up to n, which is above 0.
func (s *Source) Below(n int) int { return int(s.Next() % uint64(n)) }

// Shuffle puts n things into an order by chance.
func (s *Source) Shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, s.Below(i+1))
	}
}
