package frontend

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
	"threadrun/simulation/network"
)

// largeAnswers is a Handler that keeps the clients of the requests, so that the test can answer them.
type largeAnswers struct {
	recordingHandler
	clients []Client
}

func (h *largeAnswers) StartRequest(c Client, _ RequestNumber, _ *Request) bool {
	h.clients = append(h.clients, c)
	return true
}

// Guards against lost answers: when the unread answers of all clients exceeded the limit, the server closed the
// connection with the most unread bytes, which could be that of a client that was reading a large answer, while the
// others had stopped reading.
func TestReadersAreNotClosedForThoseWhoStopReading(t *testing.T) {
	const stopped, stoppedBytes, largeAnswer = 3, 400_000, 600_000
	world := network.New(1)
	handler := &largeAnswers{}
	s, host := simulatedServer(world, handler, 1_200_000)
	engine := s.engine
	runWithTicks := func(until clock.Micros) {
		for world.Now() < until {
			world.Run(world.Now() + 20*clock.Millisecond)
			engine.Do(func() { s.Tick(engine.Now()) })
		}
	}
	var clients []*pieceClient
	for i := range stopped + 1 { // the last one reads
		clientHost := world.AddHost(fmt.Sprint("client-", i), netip.AddrFrom4([4]byte{10, 0, 0, byte(2 + i)}))
		client := &pieceClient{engine: transport.NewWithRuntime(clientHost.Start(), quietLogger())}
		client.engine.Do(func() {
			conn := client.engine.Dial(simulatedAddress, time.Second, client)
			conn.Send(largeRequest(1, 0))
		})
		clients = append(clients, client)
		runWithTicks(clock.Micros(i+1) * 100 * clock.Millisecond)
		size := stoppedBytes
		if i == stopped {
			size = largeAnswer
			world.Link(host, clientHost).BytesPerMillisecond = 2000
		}
		engine.Do(func() { handler.clients[i].Answer(1, nil, make([]byte, size), false) })
		world.Link(host, clientHost).Cut = i < stopped
	}
	runWithTicks(3 * clock.Second)
	if reader := clients[stopped]; len(reader.answered) != 1 || reader.closed != nil {
		t.Errorf("the client that reads got %d answers, want 1; its connection ended with %v, want it open",
			len(reader.answered), reader.closed)
	}
	engine.Do(func() {
		if open := len(s.connections); open >= stopped+1 {
			t.Errorf("%d connections are open, want one closed that had stopped reading", open)
		}
	})
}
