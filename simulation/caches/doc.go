// Package caches simulates the caches of one zone, their parents and an origin on virtual time: the age of copies,
// capacity, cold starts, joined fills, and purges that each machine carries out after a delay of its own. It follows
// the public protocol page and makes no routing decisions.
//
// A Hierarchy is driven by the Clock of the simulation that it is part of, and starts no goroutine. The same seed and
// the same calls at the same times give the same run.
package caches
