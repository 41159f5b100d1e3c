// Package attempts holds the connections to caches, parents and the origin. It sends requests, reads the answers, and
// tells of each attempt how far it had come when it ended. It never retries and never chooses a cache.
//
// All calls come under the lock of the transport.Engine. Pool.Send starts an attempt; the Handler hears its end once,
// unless Pool.Withdraw or Pool.Cancel took it back.
package attempts
