package transport

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// kernelSocket is one of the poller's connections.
type kernelSocket struct {
	conn   *nbio.Conn
	kernel *kernel
}

// Close closes the connection.
func (s kernelSocket) Close() { _ = s.conn.Close() }

func (s kernelSocket) String() string { return fmt.Sprint(s.conn.RemoteAddr()) }

// Peek looks at what the poller has read and not handed on, then at what it has not read.
func (s kernelSocket) Peek(b []byte) (n int, ended bool) {
	read := s.kernel.handoff.peek(s.conn, b)
	if read == len(b) {
		return read, false
	}
	n, _, err := syscall.Recvfrom(s.conn.Hash(), b[read:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return read + max(n, 0), err == nil && read+n == 0
}

// Send writes several parts at once if no bytes are pending. What the kernel does not take is copied and follows.
func (s kernelSocket) Send(parts [][]byte, pending bool) int {
	if len(parts) > 1 && !pending {
		size := 0
		for _, part := range parts {
			size += len(part)
		}
		n, err := s.conn.Writev(parts)
		if n == size {
			return n // the poller reports only what it writes part by part
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
			return 0 // the connection's end is reported
		}
		parts = unwritten(parts, n)
	}
	for _, part := range parts {
		_, _ = s.conn.Write(part)
	}
	return 0
}

// unwritten gives the parts that a write of n bytes did not reach. The poller keeps the rest of the part that was cut,
// and drops those after it: left to it, an answer would be torn.
func unwritten(parts [][]byte, n int) [][]byte {
	for len(parts) > 0 && n > 0 {
		n -= len(parts[0])
		parts = parts[1:]
	}
	return parts
}

const (
	handoffPause = 20 * time.Microsecond
	handoffTries = 100 // the poller does nothing between its read and handing on
)

// handoff is what the poller has read and waits to hand on, while another callback holds the engine's lock.
type handoff struct {
	mu      sync.Mutex
	reading *nbio.Conn // the poller is about to read from it
	from    *nbio.Conn // b was read from it
	b       []byte
}

func (h *handoff) set(reading, from *nbio.Conn, b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = reading
	h.from = from
	h.b = b
}

// peek copies what was read from a connection. While the poller is between a read and handing on what it gave, those
// bytes are in neither place, so it waits.
func (h *handoff) peek(from *nbio.Conn, b []byte) (n int) {
	for range handoffTries {
		h.mu.Lock()
		between := h.reading == from
		if h.from == from {
			n = copy(b, h.b)
		}
		h.mu.Unlock()
		if !between {
			return n
		}
		time.Sleep(handoffPause)
	}
	return n
}
