package transport

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a client that has sent much and so keeps the router from reading any other connection until all of it
// has been read: another client's byte must be read before that.
func TestFloodDoesNotKeepOthersUnread(t *testing.T) {
	const (
		readSize = 1024
		flood    = 64 * readSize // fits into the kernel's buffers
		other    = 'o'
	)
	k := newKernel(256)
	k.acceptedReader.buffer = make([]byte, readSize)
	k.catchUpReader.buffer = make([]byte, readSize)
	e := NewWithRuntime(k, quietLogger())
	if err := k.start(e); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	e.SetMaxAccepted(8)
	address := freeAddress(t)
	var accepted, floodRead atomic.Int64
	floodReadBeforeOther := make(chan int64, 1)
	err := e.Listen(address, func(*Conn) Handler {
		accepted.Add(1)
		return &testHandler{
			closed: func(error) {},
			data: func(b []byte) error {
				if b[0] == other {
					floodReadBeforeOther <- floodRead.Load()
					return nil
				}
				floodRead.Add(int64(len(b)))
				time.Sleep(2 * time.Millisecond) // handling the bytes holds the lock
				return nil
			},
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeQuietly(conn) })
		return conn
	}
	flooder, usual := dial(), dial()
	for accepted.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	e.Do(func() { // nothing is handled meanwhile
		_, _ = flooder.Write(bytes.Repeat([]byte("f"), flood))
		_, _ = usual.Write([]byte{other})
	})
	select {
	case n := <-floodReadBeforeOther:
		if n >= flood {
			t.Errorf("the other client's byte was read after all %d bytes of the flood", n)
		}
	case <-time.After(hangTimeout):
		t.Error("the other client's byte was not read")
	}
}

// Guards against a lock that is held while its holder waits for a read that has ended: when a read fails, and the end
// of the connection is about to be handled, a peek at the connection must not wait.
func TestFailedReadKeepsNoPeekWaiting(t *testing.T) {
	e := newEngine(t)
	e.SetMaxAccepted(8)
	k := e.runtime.(*kernel)
	address := freeAddress(t)
	stillReading := make(chan bool, 1)
	err := e.Listen(address, func(*Conn) Handler {
		return &testHandler{
			data: func([]byte) error { return nil },
			closed: func(error) {
				h := &k.acceptedReader.handoff
				h.mu.Lock()
				defer h.mu.Unlock()
				stillReading <- h.reading != nil
			},
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0) // the close resets the connection, so that the read fails
	closeQuietly(conn)
	select {
	case reading := <-stillReading:
		if reading {
			t.Error("the reader counts as reading while the end of the connection is handled")
		}
	case <-time.After(hangTimeout):
		t.Error("the connection was not closed")
	}
}

// A connection that the catch-up reader holds must be read again if it became readable during a read, and must be left
// to the poller after that.
func TestCatchUpQueue(t *testing.T) {
	var q catchUpQueue
	q.init()
	if q.holds(nil) {
		t.Fatal("an empty queue holds a connection")
	}
	q.add(nil) // the queue does not use the connection
	if !q.holds(nil) {
		t.Fatal("the connection is not held after add")
	}
	q.next()
	q.done(nil, true)
	q.next()
	q.holds(nil) // the poller reports it during the read
	q.done(nil, false)
	if len(q.waiting) != 1 {
		t.Fatal("a connection that became readable during a read is not read again")
	}
	q.next()
	q.done(nil, false)
	if q.holds(nil) || len(q.waiting) != 0 {
		t.Error("a connection of which nothing is left is still held")
	}
}
