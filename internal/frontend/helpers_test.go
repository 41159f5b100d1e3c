package frontend

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/testseed"
	"threadrun/internal/testserver"
	"threadrun/internal/transport"
	"threadrun/routing"
	"threadrun/simulation/network"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261204, 0) }

const testObject = "00000000000000aa"

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// largeRequest returns an encoded request with a body.
func largeRequest(id uint64, bodySize int) []byte {
	return testserver.Request(id, "order", testserver.RequestParams(id, testObject, time.Second), make([]byte, bodySize))
}

// recordingHandler is a Handler that counts requests and does not answer them.
type recordingHandler struct {
	arrived, clientsLeft int            // number of calls of StartRequest and ClientLeft
	reportStallsTo       *Server        // DetectStall reports a stall of one second to it; nil: no stalls
	first                Client         // client of the first request
	unreadFor            routing.Micros // UnreadFor of the last request
}

func (h *recordingHandler) Ready() bool                          { return true }
func (h *recordingHandler) Class([]byte) (routing.ClassID, bool) { return 0, true }
func (h *recordingHandler) Tenant([]byte) routing.TenantID       { return routing.NoTenant }
func (h *recordingHandler) StartRequest(c Client, _ RequestNumber, request *Request) bool {
	h.arrived++
	h.unreadFor = request.UnreadFor
	if h.first == nil {
		h.first = c
	}
	return true
}
func (h *recordingHandler) ClientLeft(routing.RequestID) { h.clientsLeft++ }
func (h *recordingHandler) DetectStall() {
	if h.reportStallsTo != nil {
		h.reportStallsTo.Stalled(time.Now().Add(-time.Second))
	}
}

// openServer starts a Server for at most 100 clients, with clientBytes as the limit on the bytes stored for them.
func openServer(t *testing.T, handler *recordingHandler, clientBytes int) (
	e *transport.Engine, s *Server, address string) {
	t.Helper()
	return openServerWith(t, handler, clientBytes)
}

// openServerWith is like openServer, for any Handler.
func openServerWith(t *testing.T, handler Handler, clientBytes int) (
	e *transport.Engine, s *Server, address string) {
	t.Helper()
	log := quietLogger()
	e, err := transport.New(log, 256)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = l.Addr().String()
	_ = l.Close()
	limits := Limits{Connections: 100, UnreadBytes: 1 << 20, ClientBytes: clientBytes, IdleTimeout: time.Minute}
	s = NewServer(e, log, handler, limits)
	e.SetMaxAccepted(100)
	if err := e.Listen(address, s.Accept); err != nil {
		t.Fatal(err)
	}
	return e, s, address
}

// simulatedAddress is where the server of simulatedServer listens.
const simulatedAddress = "10.0.0.1:80"

// simulatedServer adds a host to a simulated network and starts a Server on it, with limits like those of openServer.
func simulatedServer(world *network.World, handler Handler, clientBytes int) (*Server, *network.Host) {
	log := quietLogger()
	address := netip.MustParseAddrPort(simulatedAddress)
	host := world.AddHost("router", address.Addr())
	engine := transport.NewWithRuntime(host.Start(), log)
	limits := Limits{Connections: 8, UnreadBytes: 1 << 20, ClientBytes: clientBytes, IdleTimeout: time.Minute}
	s := NewServer(engine, log, handler, limits)
	engine.SetMaxAccepted(limits.Connections)
	_ = engine.Listen(simulatedAddress, s.Accept)
	return s, host
}

// waitUntil waits until a condition holds, which it evaluates under the lock. It fails the test with a message if the
// condition still does not hold after at least 5 s.
func waitUntil(t *testing.T, e *transport.Engine, message string, condition func() bool) {
	t.Helper()
	for i := 0; ; i++ {
		done := false
		if e.Do(func() { done = condition() }); done {
			return
		}
		if i > 5000 {
			t.Fatal(message)
		}
		time.Sleep(time.Millisecond)
	}
}
