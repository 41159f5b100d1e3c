package transport

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// kernelSocket is the Socket of a connection of the poller.
type kernelSocket struct {
	conn   *nbio.Conn
	kernel *kernel
}

// Close closes the connection.
func (s kernelSocket) Close() { _ = s.conn.Close() }

// CloseWrite closes the sending side. The kernel must have accepted all bytes that were sent. The poller's lock on
// the connection keeps the descriptor from being closed, and reused, during the call.
func (s kernelSocket) CloseWrite() {
	s.conn.Lock()
	defer s.conn.Unlock()
	if closed, _ := s.conn.IsClosed(); !closed {
		_ = syscall.Shutdown(s.conn.Hash(), syscall.SHUT_WR)
	}
}

// String returns the peer's address.
func (s kernelSocket) String() string { return fmt.Sprint(s.conn.RemoteAddr()) }

// Peek copies the bytes that have been read but not passed to the engine, followed by those that the kernel still
// holds.
func (s kernelSocket) Peek(b []byte) (n int, eof bool) {
	read := s.kernel.peekRead(s.conn, b)
	if read == len(b) {
		return read, false
	}
	n, _, err := syscall.Recvfrom(s.conn.Hash(), b[read:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return read + max(n, 0), err == nil && read+n == 0
}

// Unread asks the kernel for the number. A peek would copy the bytes, and the kernel goes through all packets in front
// of each one that it copies from, which takes milliseconds if a client has sent thousands of small ones.
func (s kernelSocket) Unread() int {
	unread, err := unix.IoctlGetInt(s.conn.Hash(), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return s.kernel.countRead(s.conn) + unread
}

// PeerClosed asks the kernel, which knows of the end before the bytes in front of it are read.
func (s kernelSocket) PeerClosed() bool {
	descriptors := s.kernel.pollDescriptors[:]
	descriptors[0] = unix.PollFd{Fd: int32(s.conn.Hash()), Events: unix.POLLRDHUP}
	_, err := unix.Poll(descriptors, 0)
	return err == nil && descriptors[0].Revents&unix.POLLRDHUP != 0
}

const (
	// fullThresholdDivisor divides the receive buffer's size in FullThreshold. The kernel also counts its own
	// structures against that size, so small packets fill the buffer with as little as a quarter of the size in data.
	fullThresholdDivisor = 4
	// defaultFullThreshold is the result of FullThreshold, in bytes, if the size of the receive buffer is unknown.
	defaultFullThreshold = 1 << 13
)

// FullThreshold returns a quarter of the size of the kernel's receive buffer.
func (s kernelSocket) FullThreshold() int {
	size, err := syscall.GetsockoptInt(s.conn.Hash(), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	if err != nil || size <= 0 {
		return defaultFullThreshold
	}
	return size / fullThresholdDivisor
}

// Send writes all parts with one system call if no bytes are pending. Bytes that the kernel does not accept are
// copied and written later.
func (s kernelSocket) Send(parts [][]byte, pending bool) int {
	if len(parts) > 1 && !pending {
		size := 0
		for _, part := range parts {
			size += len(part)
		}
		n, err := s.conn.Writev(parts)
		if n == size {
			return n // the poller does not call OnWrittenSize for a complete Writev
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
			return 0 // the poller closes the connection and reports its end
		}
		parts = unwrittenParts(parts, n)
	}
	for _, part := range parts {
		_, _ = s.conn.Write(part)
	}
	return 0
}

// unwrittenParts returns the parts that a gathered write of n bytes did not reach. The poller itself buffers the
// rest of a part that was written partly, but drops all parts after it. If they were not written separately, the
// message would be corrupted.
func unwrittenParts(parts [][]byte, n int) [][]byte {
	for len(parts) > 0 && n > 0 {
		n -= len(parts[0])
		parts = parts[1:]
	}
	return parts
}

// countRead returns the number of bytes of a connection that have been read but not passed to the engine.
func (k *kernel) countRead(conn *nbio.Conn) (n int) {
	for _, r := range [...]*reader{&k.dialedReader, &k.acceptedReader, &k.catchUpReader} {
		n += r.handoff.count(conn)
	}
	return n
}

// peekRead copies the bytes of a connection that have been read but not passed to the engine. At most one reader has
// such bytes.
func (k *kernel) peekRead(conn *nbio.Conn, b []byte) (n int) {
	for _, r := range [...]*reader{&k.dialedReader, &k.acceptedReader, &k.catchUpReader} {
		if n = r.handoff.peek(conn, b); n > 0 {
			break
		}
	}
	return n
}

const (
	handoffPollInterval = 20 * time.Microsecond
	// maxHandoffPolls limits the wait in handoff.peek to about 50 ms. A reader does nothing between reading bytes and
	// recording them, so it takes longer than a moment only if its thread is not scheduled.
	maxHandoffPolls = 2500
)

// handoff records the bytes that a reader has read but not passed to the engine, because another callback holds the
// engine's lock. That callback can peek at the bytes here. The fields are guarded by mu.
type handoff struct {
	mu        sync.Mutex
	reading   *nbio.Conn // the reader is about to read from this connection
	readFrom  *nbio.Conn // unhandled was read from this connection
	unhandled []byte     // bytes that were read but not passed to the engine
}

func (h *handoff) set(reading, readFrom *nbio.Conn, unhandled []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = reading
	h.readFrom = readFrom
	h.unhandled = unhandled
}

// peek copies the recorded bytes of a connection to b, and returns their number.
func (h *handoff) peek(from *nbio.Conn, b []byte) (n int) {
	h.inspect(from, func(unhandled []byte) { n = copy(b, unhandled) })
	return n
}

// count returns the number of the recorded bytes of a connection.
func (h *handoff) count(from *nbio.Conn) (n int) {
	h.inspect(from, func(unhandled []byte) { n = len(unhandled) })
	return n
}

// inspect calls f with the recorded bytes of a connection, if there are any. It waits while the reader may have read
// bytes from the connection but not recorded them yet: they are then neither here nor in the kernel.
func (h *handoff) inspect(from *nbio.Conn, f func(unhandled []byte)) {
	for range maxHandoffPolls {
		h.mu.Lock()
		readInProgress := h.reading == from
		if h.readFrom == from {
			f(h.unhandled)
		}
		h.mu.Unlock()
		if !readInProgress {
			return
		}
		time.Sleep(handoffPollInterval)
	}
}
