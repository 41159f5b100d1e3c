// Package caches simulates the caches of one zone, their parents and an origin on virtual time. It models the age of
// copies, the limited capacity of each machine, slow starts, joined fills, and purges that each machine carries out
// after a random delay. The machines behave as the public protocol page requires. The package makes no routing
// decisions: the caller chooses the cache and the source of each attempt.
//
// A Hierarchy is driven by the Clock of the simulation that it is part of, and starts no goroutine. The same seed and
// the same calls at the same times produce the same run. A Hierarchy is not safe for concurrent use.
package caches
