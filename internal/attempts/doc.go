// Package attempts sends requests to caches, parents and the origin, and owns the connections to them. It reads the
// answers, and reports how far each attempt had progressed when it ended. It never retries and never chooses a
// cache: internal/service does so with package routing's decisions.
//
// All methods must be called under the lock of the transport.Engine. Pool.Send starts an attempt; its end is
// reported to the Handler exactly once, unless Pool.Withdraw or Pool.Cancel ended it.
package attempts
