// Package hash holds the well-mixed hashes that placement rests on. They are linear in nothing, unlike a CRC.
package hash

import "github.com/cespare/xxhash/v2"

// String hashes a name.
func String(s string) uint64 { return xxhash.Sum64String(s) }

// Combine hashes two hashes into one.
func Combine(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ (b + 0x7f4a7c159e3779b9)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
