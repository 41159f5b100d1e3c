// Package peers carries datagrams of at most 256 bytes between routers over UDP. It seals them with a shared key: each
// datagram is authenticated and protected against replay, but not encrypted. The package drops and counts datagrams
// that are malformed, replayed, or not sealed with a known key, and never answers them. Datagrams may be lost or
// reordered. The package does not interpret their payload.
//
// A Channel is not safe for concurrent use. It belongs to the control goroutine of package control, which calls
// Tick at regular intervals to receive datagrams.
package peers
