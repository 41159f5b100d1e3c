// Package discovery watches the endpoint list by a long poll. It hands the numbered events to the Handler in order,
// each once; what follows from them is decided elsewhere.
//
// All calls come under the lock of the transport.Engine. At most one poll is out at a time; after a failure the next
// one follows with an exponential backoff. Until then the Handler keeps the endpoints that it has.
package discovery
