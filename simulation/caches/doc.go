// Package caches simulates the caches of one zone, their parents and an origin on virtual time: copies with their age,
// capacity, cold starts, fills that join, and purges that each machine carries out in its own time. It behaves as the
// public protocol page says that these machines do, and decides nothing for a router.
//
// A Hierarchy is driven by the Clock of the simulation that it is part of; it has no goroutine of its own. The same
// seed and the same calls at the same times give the same run.
package caches
