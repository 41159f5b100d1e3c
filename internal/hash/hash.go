// Package hash provides well-mixed 64-bit hashes, used for ids and to assign objects and tasks to caches and routers.
// All routers must compute equal hashes. Unlike a CRC, the hashes are not linear, so that the hashes of related inputs
// do not differ by a constant.
package hash

import "github.com/cespare/xxhash/v2"

// String returns the hash of a string.
func String(s string) uint64 { return xxhash.Sum64String(s) }

// Combine returns a hash of two hashes or other numbers. The order of the arguments matters. The last steps are the
// finalizer of SplitMix64.
func Combine(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 ^ (b + 0x7f4a7c159e3779b9)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
