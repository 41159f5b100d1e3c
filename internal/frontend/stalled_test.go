package frontend

import (
	"testing"
	"time"

	"threadrun/internal/transport"
)

// listeningRuntime is a Runtime whose connections a test admits.
type listeningRuntime struct {
	transport.Runtime
	listener *transport.Listener
}

func (r *listeningRuntime) Listen(_ string, l *transport.Listener) (func(), error) {
	r.listener = l
	return func() {}, nil
}

// unreadSocket is a Socket with unread bytes that records the most bytes that were peeked at.
type unreadSocket struct{ unread, peeked int }

func (s *unreadSocket) Send([][]byte, bool) int { return 0 }
func (s *unreadSocket) Close()                  {}
func (s *unreadSocket) CloseWrite()             {}
func (s *unreadSocket) Unread() int             { return s.unread }
func (s *unreadSocket) PeerClosed() bool        { return false }
func (s *unreadSocket) FullThreshold() int      { return 1 << 15 }
func (s *unreadSocket) String() string          { return "unread" }
func (s *unreadSocket) Peek(b []byte) (n int, eof bool) {
	s.peeked = max(s.peeked, len(b))
	return min(len(b), s.unread), false
}

// Guards against a look at all unread bytes of every client when the router may have stalled: that takes milliseconds
// for each client that sends in small packets, makes the loop late, and so counts as the next stall.
func TestStallCopiesNoUnreadBytes(t *testing.T) {
	runtime := &listeningRuntime{Runtime: transport.SystemRuntime()}
	engine := transport.NewWithRuntime(runtime, quietLogger())
	s := NewServer(engine, quietLogger(), &recordingHandler{}, Limits{Connections: 8, ClientBytes: 1 << 20})
	engine.SetMaxAccepted(8)
	if err := engine.Listen("", s.Accept); err != nil {
		t.Fatal(err)
	}
	const unread = 5000
	socket := &unreadSocket{unread: unread}
	runtime.listener.Admit(func(*transport.Conn) (transport.Socket, error) { return socket, nil })
	engine.Do(func() { s.Stalled(engine.Now().Add(-time.Second)) })
	for c := range s.connections { // the only one
		if !c.backlog.active() || c.backlog.undecodedBytes != unread {
			t.Errorf("the backlog is %+v, want one of %d bytes", c.backlog, unread)
		}
	}
	if socket.peeked > 1 {
		t.Errorf("%d bytes were peeked at to count them", socket.peeked)
	}
}
