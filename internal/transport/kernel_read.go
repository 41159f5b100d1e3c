package transport

import (
	"errors"
	"runtime"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
)

// The poller reports a connection once when it becomes readable; then it must be read until nothing is left. A client
// that sends as fast as the router reads would keep the poller from every other connection for as long as it likes. So
// the poller reads from an accepted connection only once. One that has more is read by the catch-up reader, a goroutine
// that reads once from each such connection in turn.

const (
	dialedReadSize = 1 << 16 // maximum bytes that are read at once from a dialed connection
	// acceptedReadSize is the same for an accepted connection. It bounds the time for which the messages of one client
	// delay those of others.
	acceptedReadSize = 1 << 13
)

// reader reads connections. It is used by one goroutine.
type reader struct {
	kernel  *kernel
	buffer  []byte
	handoff handoff
}

func newReader(k *kernel, size int) reader { return reader{kernel: k, buffer: make([]byte, size)} }

// readOnce reads at most as many bytes as its buffer holds, and passes them to the engine. more reports whether there
// may be further bytes. An error closes the connection.
func (r *reader) readOnce(conn *nbio.Conn) (more bool) {
	n, err := r.read(conn)
	switch {
	case errors.Is(err, syscall.EINTR):
		return true
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		_ = conn.CloseWithError(err)
		return false
	}
	return n == len(r.buffer)
}

// read reads once and passes the bytes to the engine. When it returns, the handoff is empty: whoever closes the
// connection waits for the engine's lock, and must not keep the holder of the lock waiting for the end of a read.
func (r *reader) read(conn *nbio.Conn) (int, error) {
	r.handoff.set(conn, nil, nil)
	defer r.handoff.set(nil, nil, nil)
	buffer := r.buffer
	_, n, err := conn.ReadAndGetConn(&buffer)
	if n > 0 {
		r.kernel.handleData(&r.handoff, conn, buffer[:n])
	}
	return n, err
}

// handleReadable is called by the poller when a connection has become readable, or has ended.
func (k *kernel) handleReadable(conn *nbio.Conn) {
	if _, dialed := conn.Session().(*dialedConn); dialed {
		// A cache may close the connection behind its answers. The poller closes it after this call, so all of them must
		// be read now.
		for k.dialedReader.readOnce(conn) {
		}
		return
	}
	if !k.catchUp.holds(conn) && k.acceptedReader.readOnce(conn) {
		k.catchUp.add(conn)
	}
}

// readBehind runs the catch-up reader until the kernel is stopped.
func (k *kernel) readBehind() {
	for {
		conn := k.catchUp.next()
		if conn == nil {
			return
		}
		k.catchUp.done(conn, k.catchUpReader.readOnce(conn))
		runtime.Gosched() // lets the poller and the timer loop take the engine's lock
	}
}

// catchUpQueue contains the connections that the catch-up reader reads.
//
// Invariant: a connection is in readable from add until done finds that nothing is left. Meanwhile the poller does not
// read it, so that its bytes stay in order.
type catchUpQueue struct {
	mu       sync.Mutex // guards all fields
	changed  sync.Cond  // signals that waiting or stopped has changed
	waiting  []*nbio.Conn
	readable map[*nbio.Conn]bool // true: the poller has reported the connection since its last read began
	stopped  bool
}

func (q *catchUpQueue) init() {
	q.changed.L = &q.mu
	q.readable = map[*nbio.Conn]bool{}
}

// holds reports whether a connection that has become readable is left to the catch-up reader.
func (q *catchUpQueue) holds(conn *nbio.Conn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, held := q.readable[conn]
	if held {
		q.readable[conn] = true
	}
	return held
}

// add appends a connection that is not in the queue.
func (q *catchUpQueue) add(conn *nbio.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readable[conn] = false
	q.waiting = append(q.waiting, conn)
	q.changed.Signal()
}

// next waits for the next connection to read, and returns nil after stop.
func (q *catchUpQueue) next() *nbio.Conn {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) == 0 && !q.stopped {
		q.changed.Wait()
	}
	if q.stopped {
		return nil
	}
	conn := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.readable[conn] = false
	return conn
}

// done must be called after a read of the connection that next returned. more is whether bytes may be left.
func (q *catchUpQueue) done(conn *nbio.Conn, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if more || q.readable[conn] {
		q.waiting = append(q.waiting, conn)
		return
	}
	delete(q.readable, conn)
}

// stop makes next return nil.
func (q *catchUpQueue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	q.changed.Broadcast()
}
