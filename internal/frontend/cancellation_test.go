package frontend

import (
	"net"
	"testing"

	"threadrun/internal/testserver"
)

// Guards against a search for cancellations that starts again for each request of a backlog: hundreds of requests at
// once would then take steps of the order of their square under the lock, and other clients get no answer in time.
func TestBacklogIsSearchedOnce(t *testing.T) {
	const requests = 900
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 1<<20)
	defer e.Stop()
	e.Do(func() { handler.reportStallsTo = s })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var batch []byte
	for id := range uint64(requests) {
		batch = append(batch, testserver.Request(id+1, "page", nil, nil)...)
	}
	e.Do(func() { _, _ = conn.Write(batch) }) // nothing is read meanwhile
	var c *connection
	waitUntil(t, e, "the requests were not read", func() bool {
		for c = range s.connections { // finds the only connection
		}
		return c != nil && c.decodedBytes == int64(len(batch))
	})
	// Each time that bytes are read, the test's handler reports a stall, after which the search starts from the beginning.
	const pieces = 4
	e.Do(func() {
		if s.searchedBytes > pieces*int64(len(batch)) {
			t.Errorf("%d bytes were searched in a backlog of %d bytes", s.searchedBytes, len(batch))
		}
	})
}

// A search that continues an earlier one must find the cancellations that have arrived since, and must not find those
// that were decoded.
func TestSearchContinues(t *testing.T) {
	var search cancellationSearch
	cancellation := func(id byte) []byte { return append([]byte("\x93\x02\xa6giveUp\x91"), id) }
	size := int64(len(cancellation(1)))
	first := append(cancellation(1), cancellation(2)[:5]...)
	search.advance(first, 100)
	if search.end != 100+size || search.canceled[1] != 100+size {
		t.Fatalf("after the first search: %+v, want one cancellation that ends at %d", search, 100+size)
	}
	search.advance(append(cancellation(2), cancellation(1)...), search.end)
	if search.canceled[2] != 100+2*size || search.canceled[1] != 100+3*size {
		t.Errorf("after the second search: %+v, want the last cancellation of each request", search)
	}
	search.forgetDecoded(100 + 2*size)
	if _, found := search.canceled[2]; found || search.canceled[1] == 0 {
		t.Errorf("after two messages were decoded: %+v, want only the cancellation of request 1", search)
	}
}
