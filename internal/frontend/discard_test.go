package frontend

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/msgpack"
	"threadrun/internal/testserver"
	"threadrun/internal/transport"
	"threadrun/simulation/network"
)

// holdMemory connects a client that sends the first bytes of a large request, and waits until the server stores them.
// The returned function sends the rest and returns what the server answers.
func holdMemory(t *testing.T, e *transport.Engine, s *Server, address string, bodySize, bytes int) (
	rest func() string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stored := 0
	e.Do(func() { stored = s.incompleteBytes })
	request := largeRequest(1, bodySize)
	_, _ = conn.Write(request[:bytes])
	waitUntil(t, e, "the bytes of the other client were not stored", func() bool {
		return s.incompleteBytes == stored+bytes
	})
	return func() string {
		_, _ = conn.Write(request[bytes:])
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		answer := make([]byte, 100)
		n, _ := conn.Read(answer)
		return string(answer[:n])
	}
}

// sendAfterOpenRequest connects a client that has an open request, and sends a large request in two pieces and a
// small one behind it. It returns the client and the id of the large request.
func sendAfterOpenRequest(t *testing.T, e *transport.Engine, s *Server, address string) (
	*testserver.Client, uint64) {
	t.Helper()
	client, err := testserver.Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	id, _ := client.Send("page", testserver.RequestParams(1, testObject, time.Second), nil)
	large, small := largeRequest(id+1, maxBody), largeRequest(id+2, 0)
	client.Write(large[:len(large)/2])
	waitUntil(t, e, "the first half of the large request was not read", func() bool {
		for c := range s.connections {
			if len(c.openRequests) == 1 && !c.awaitingRequestSince.IsZero() {
				return true
			}
		}
		return false
	})
	client.Write(append(large[len(large)/2:], small...))
	return client, id + 1
}

// Guards against lost requests: while other clients' incomplete requests used up the memory, the server dropped a large
// request that arrived in two pieces, and all that followed on the connection, and closed the connection later. The
// larger request of another client must be discarded for it, and rejected when it is complete after all.
func TestLargerRequestsOfOthersAreDiscardedFirst(t *testing.T) {
	const clientBytes = 100_000
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, clientBytes)
	defer e.Stop()
	rest := holdMemory(t, e, s, address, 1_000_000, clientBytes-maxSmallRequest)
	client, _ := sendAfterOpenRequest(t, e, s, address)
	waitUntil(t, e, "the requests did not arrive", func() bool { return handler.arrived == 3 })
	if answer := rest(); !strings.Contains(answer, "Shed") {
		t.Errorf("the client that held the memory read %q, want its request rejected with \"Shed\"", answer)
	}
	select {
	case <-client.Closed():
		t.Error("the connection was closed")
	case a := <-client.Unexpected:
		t.Errorf("unexpected answer %+v", a)
	default:
	}
}

// Guards against lost requests, as above, where the incomplete requests of the others are smaller. The large request
// must be rejected, and the one behind it must arrive.
func TestLargeRequestIsRejectedWhileOthersHoldTheMemory(t *testing.T) {
	const clientBytes, others = 100_000, 5
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, clientBytes)
	defer e.Stop()
	for range others {
		holdMemory(t, e, s, address, maxBody, (clientBytes-maxSmallRequest)/others)
	}
	client, id := sendAfterOpenRequest(t, e, s, address)
	select {
	case a := <-client.Unexpected: // the request was sent by Write
		if a.ID != id || a.Error != "Shed" {
			t.Errorf("answer %+v, want request %d rejected with \"Shed\"", a, id)
		}
	case <-client.Closed():
		t.Fatal("the connection was closed")
	case <-time.After(10 * time.Second):
		t.Fatal("the large request got no answer")
	}
	waitUntil(t, e, "the request behind the large one did not arrive", func() bool { return handler.arrived == 2 })
	e.Do(func() {
		s.Tick(time.Now())
		if len(s.connections) != others+1 || s.incompleteBytes > clientBytes {
			t.Errorf("%d connections are open, want %d; %d bytes of incomplete requests are stored, want at most %d",
				len(s.connections), others+1, s.incompleteBytes, clientBytes)
		}
	})
}

// answeringHandler is a Handler that rejects each request at once, with a time to retry.
type answeringHandler struct{ recordingHandler }

func (h *answeringHandler) StartRequest(c Client, number RequestNumber, _ *Request) bool {
	h.arrived++
	c.Reject(number, clock.Millisecond)
	return true
}

// pieceClient is the client's side of a simulated connection. It records the ids of the answers.
type pieceClient struct {
	received transport.ReceiveBuffer
	engine   *transport.Engine
	answered []uint64
	closed   error
}

func (p *pieceClient) Data(b []byte) error { return p.received.Decode(p.engine, b, p) }
func (p *pieceClient) Closed(err error)    { p.closed = err }

func (p *pieceClient) Next(b []byte) (int, error) {
	size, err := msgpack.Size(b, maxMessage)
	if err != nil {
		return 0, nil
	}
	r := msgpack.Read(b[:size])
	r.Array()
	r.Uint()
	p.answered = append(p.answered, r.Uint())
	return size, nil
}

// Without memory for incomplete requests, each request gets one answer, in whichever pieces the requests arrive.
func TestRequestsInPiecesWithoutMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		world := network.New(1)
		handler := &answeringHandler{}
		s, _ := simulatedServer(world, handler, 0)
		engine := s.engine
		clientHost := world.AddHost("client", netip.MustParseAddr("10.0.0.2"))
		client := &pieceClient{engine: transport.NewWithRuntime(clientHost.Start(), quietLogger())}
		var conn *transport.Conn
		client.engine.Do(func() { conn = client.engine.Dial(simulatedAddress, time.Second, client) })

		var stream []byte
		count := rapid.IntRange(1, 5).Draw(rt, "requests")
		for id := 1; id <= count; id++ {
			size := rapid.SampledFrom([]int{0, 3000, 5000, 20_000, maxBody}).Draw(rt, "body")
			stream = append(stream, largeRequest(uint64(id), size)...)
		}
		now := 10 * clock.Millisecond
		for world.Run(now); len(stream) > 0; world.Run(now) {
			piece := min(rapid.SampledFrom([]int{1, 10, 1000, 4500, 30_000, len(stream)}).Draw(rt, "piece"), len(stream))
			client.engine.Do(func() { conn.Send(stream[:piece]) })
			stream = stream[piece:]
			now += 100 * clock.Millisecond
			engine.Do(func() {
				if s.incompleteBytes > maxSmallRequest {
					rt.Fatalf("%d bytes of incomplete requests are stored, want at most %d", s.incompleteBytes, maxSmallRequest)
				}
			})
		}
		seen := map[uint64]bool{}
		for _, id := range client.answered {
			seen[id] = true
		}
		if len(client.answered) != count || len(seen) != count || client.closed != nil {
			rt.Fatalf("answers to the requests %v of %d, %d of which arrived; the connection ended with %v, want it open",
				client.answered, count, handler.arrived, client.closed)
		}
	})
}

// While a large request is discarded, a cancellation behind the rest of it must be found after a stall, and the
// connection must count as one on which a request is being received.
func TestCanceledBehindADiscardedRequest(t *testing.T) {
	handler := &recordingHandler{}
	e, s, address := openServer(t, handler, 0)
	defer e.Stop()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	first, large := largeRequest(1, 0), largeRequest(2, maxBody)
	_, _ = conn.Write(append(first, large[:20_000]...))
	var c *connection
	waitUntil(t, e, "the part of the large request was not discarded", func() bool {
		for c = range s.connections { // finds the only connection
		}
		return c != nil && len(c.openRequests) == 1 && c.received.Len() == 0 && c.partlyReceived() && !c.conn.HasUnread()
	})
	e.Do(func() {
		_, _ = conn.Write(append(large[20_000:], "\x93\x02\xa6giveUp\x91\x01"...))
		buffer := make([]byte, maxPeek)
		for i, unread := 0, 0; i < 5000 && unread < len(large)-20_000+11; i++ {
			time.Sleep(time.Millisecond)
			unread, _ = c.conn.Peek(buffer)
		}
		s.Stalled(time.Now().Add(-time.Second))
		if state := c.State(c.openRequests[0].number); state != ClientGone {
			t.Errorf("the client's state is %d, want %d: the cancellation is unread", state, ClientGone)
		}
	})
	waitUntil(t, e, "the cancellation was not read", func() bool {
		return handler.clientsLeft == 1 && !c.partlyReceived()
	})
	if handler.arrived != 1 {
		t.Errorf("%d requests arrived, want the first one only", handler.arrived)
	}
}
