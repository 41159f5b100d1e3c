// Package peers carries datagrams between routers over UDP, sealed with a shared key, 256 bytes at most. A datagram
// that is malformed, not sealed by a known key or replayed is dropped and counted, and never answered. Datagrams may be
// lost and may overtake one another. The package knows nothing of their payload.
//
// A Channel belongs to one goroutine, which calls Tick at even intervals to receive.
package peers
