package transport

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// kernelSocket is a connection of the poller.
type kernelSocket struct {
	conn   *nbio.Conn
	kernel *kernel
}

// Close closes the connection.
func (s kernelSocket) Close() { _ = s.conn.Close() }

// CloseWrite closes the sending side. Everything sent must have been accepted by the kernel. The poller's lock keeps
// the descriptor from being closed, and reused, meanwhile.
func (s kernelSocket) CloseWrite() {
	s.conn.Lock()
	defer s.conn.Unlock()
	if closed, _ := s.conn.IsClosed(); !closed {
		_ = syscall.Shutdown(s.conn.Hash(), syscall.SHUT_WR)
	}
}

// String returns the peer's address.
func (s kernelSocket) String() string { return fmt.Sprint(s.conn.RemoteAddr()) }

// Peek copies the bytes that the poller has read but not passed to the engine, followed by those that it has not read.
func (s kernelSocket) Peek(b []byte) (n int, ended bool) {
	read := s.kernel.handoff.peek(s.conn, b)
	if read == len(b) {
		return read, false
	}
	n, _, err := syscall.Recvfrom(s.conn.Hash(), b[read:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return read + max(n, 0), err == nil && read+n == 0
}

const (
	// fullShareDivisor defines the share of the receive buffer's size that small packets fill it with: the kernel counts
	// its own structures too.
	fullShareDivisor = 4
	// minFullFrom holds if the buffer's size is unknown.
	minFullFrom = 1 << 13 // bytes
)

// FullThreshold returns a quarter of the receive buffer's size.
func (s kernelSocket) FullThreshold() int {
	size, err := syscall.GetsockoptInt(s.conn.Hash(), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	if err != nil || size <= 0 {
		return minFullFrom
	}
	return size / fullShareDivisor
}

// Send writes all parts at once if no bytes are pending. Bytes that the kernel does not accept are copied and
// written later.
func (s kernelSocket) Send(parts [][]byte, pending bool) int {
	if len(parts) > 1 && !pending {
		size := 0
		for _, part := range parts {
			size += len(part)
		}
		n, err := s.conn.Writev(parts)
		if n == size {
			return n // the poller calls OnWrittenSize for a partial Writev only
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
			return 0 // the end of the connection is reported separately
		}
		parts = unwritten(parts, n)
	}
	for _, part := range parts {
		_, _ = s.conn.Write(part)
	}
	return 0
}

// unwritten returns the parts that a write of n bytes did not reach. The poller keeps the rest of the part that was
// cut, but drops the parts after it, which would corrupt the answer.
func unwritten(parts [][]byte, n int) [][]byte {
	for len(parts) > 0 && n > 0 {
		n -= len(parts[0])
		parts = parts[1:]
	}
	return parts
}

const (
	handoffPause = 20 * time.Microsecond
	// handoffTries is for a poller that gets no processor: it does nothing between reading bytes and recording them.
	handoffTries = 2500
)

// handoff contains the bytes that the poller has read but not passed to the engine, because another callback holds the
// engine's lock. That callback can peek at them here. The fields are guarded by mu.
type handoff struct {
	mu        sync.Mutex
	reading   *nbio.Conn // the poller is about to read from this connection
	source    *nbio.Conn // unhandled was read from this connection
	unhandled []byte
}

func (h *handoff) set(reading, source *nbio.Conn, unhandled []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = reading
	h.source = source
	h.unhandled = unhandled
}

// peek copies the bytes that were read from a connection. It waits while the poller is between reading bytes and
// recording them here, since the bytes are then in neither place.
func (h *handoff) peek(from *nbio.Conn, b []byte) (n int) {
	for range handoffTries {
		h.mu.Lock()
		inTransition := h.reading == from
		if h.source == from {
			n = copy(b, h.unhandled)
		}
		h.mu.Unlock()
		if !inTransition {
			return n
		}
		time.Sleep(handoffPause)
	}
	return n
}
