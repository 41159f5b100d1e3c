package frontend

import (
	"net"
	"testing"

	"threadrun/internal/transport"
)

// Guards against usual clients that are pushed out, while they rest between two requests, by clients that send messages
// larger than any valid request and leave: at the limit on connections, one of those must be closed first, whether its
// bytes are stored or discarded.
func TestOversizedMessagesAreEvictedFirst(t *testing.T) {
	for _, clientBytes := range []int{1 << 20, maxSmallRequest} {
		handler := &recordingHandler{}
		e, s, address := openServer(t, handler, clientBytes)
		connect := func() (client net.Conn, accepted *connection) {
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			waitUntil(t, e, "the connection was not accepted", func() bool {
				for c := range s.connections {
					if accepted == nil || c.serial > accepted.serial {
						accepted = c
					}
				}
				return accepted != nil && accepted.conn.String() == client.LocalAddr().String()
			})
			return client, accepted
		}
		restingClient, resting := connect()
		oversizedClient, oversized := connect()
		_, _ = oversizedClient.Write(largeRequest(1, 1<<19)[:maxValidRequest+1])
		waitUntil(t, e, "the message was not read", func() bool {
			return oversized.received.Len()+int(oversized.decodedBytes) == maxValidRequest+1
		})
		e.Do(func() {
			s.limits.Connections = 2
			s.Accept(&transport.Conn{})
			_, restingOpen := s.connections[resting]
			_, oversizedOpen := s.connections[oversized]
			if !restingOpen || oversizedOpen {
				t.Errorf("with %d bytes for all clients, the resting connection is open: %v, that with the oversized message: %v;"+
					" want true and false", clientBytes, restingOpen, oversizedOpen)
			}
		})
		_ = restingClient.Close()
		_ = oversizedClient.Close()
		e.Stop()
	}
}
