// Package attempts sends requests to caches, parents and the origin over RESP, and owns the connections to them.
// It parses the responses, and reports how far each attempt had progressed when it ended. It neither retries nor
// selects caches: internal/service does both, as package routing decides.
//
// All methods must be called under the lock of the transport.Engine. Pool.Send starts an attempt. The end of each
// attempt is reported to Handler.AttemptEnded exactly once, unless Pool.Withdraw or Pool.Cancel ended the attempt, or
// Handler.MayBegin returned false for it.
package attempts
