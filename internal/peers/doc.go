// Package peers carries datagrams of at most 256 bytes between routers over UDP, sealed with a shared key. It drops
// and counts datagrams that are malformed, replayed, or not sealed with a known key, and never answers them.
// Datagrams may be lost or reordered. The package does not interpret their payload.
//
// A Channel is not safe for concurrent use. It belongs to the control goroutine of package control, which calls
// Tick at regular intervals to receive datagrams.
package peers
