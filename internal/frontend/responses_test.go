package frontend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// enqueuedAtRequest is a Handler that records how many bytes of answers were sent when a request arrives.
type enqueuedAtRequest struct {
	recordingHandler
	server   *Server
	enqueued []int64
}

func (h *enqueuedAtRequest) StartRequest(c Client, number RequestNumber, request *Request) bool {
	for conn := range h.server.connections {
		h.enqueued = append(h.enqueued, conn.conn.Enqueued())
	}
	return h.recordingHandler.StartRequest(c, number, request)
}

// Guards against a system call for each of thousands of requests that are turned away at once: the answers to requests
// that are read together must be sent together, and must all arrive.
func TestAnswersToABatchAreSentTogether(t *testing.T) {
	handler := &enqueuedAtRequest{}
	e, s, address := openServerWith(t, handler, 1<<20)
	defer e.Stop()
	handler.server = s
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const probes = 20
	var batch []byte
	for id := range uint64(probes) {
		batch = append(batch, testserver.Request(id+1, "probe", nil, nil)...)
	}
	fields := testserver.RequestParams(1, testObject, time.Second)
	batch = append(batch, testserver.Request(probes+1, "page", fields, nil)...)
	_, _ = conn.Write(batch)
	answer := []byte("\x94\x01\x00\xc0\x92\xc3\x80") // to a probe; the third byte is its id
	answers := make([]byte, probes*len(answer))
	if _, err := io.ReadFull(conn, answers); err != nil {
		t.Fatal(err)
	}
	for i := range probes {
		answer[2] = byte(i + 1)
		if got := answers[i*len(answer) : (i+1)*len(answer)]; !bytes.Equal(got, answer) {
			t.Errorf("answer %d is %x, want %x", i, got, answer)
		}
	}
	waitUntil(t, e, "the request did not arrive", func() bool { return len(handler.enqueued) > 0 })
	if handler.enqueued[0] != 0 {
		t.Errorf("%d bytes of answers were sent before all requests that were read together were handled",
			handler.enqueued[0])
	}
}
