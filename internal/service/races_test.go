package service

import (
	"net"
	"strings"
	"testing"
	"time"

	"threadrun/internal/deployment"
	"threadrun/internal/testserver"
)

// Each test in this file forces one race of docs/races.md: it holds the engine's lock, or a test server's answer,
// while the other event happens.

// openHoldingTestbed opens a testbed whose caches hold their answers until release is closed. Each request that a
// cache receives is sent to received first.
func openHoldingTestbed(t *testing.T) (b *testbed, received chan *testserver.CacheRequest, release chan struct{}) {
	received, release = make(chan *testserver.CacheRequest, 64), make(chan struct{})
	b = openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		received <- g
		<-release
		return &testserver.Reply{Status: "data", Body: []byte("here")}
	})
	return b, received, release
}

// startShutdown starts a shutdown in another goroutine, and returns when the router is draining. The returned
// channel is closed when the shutdown has ended.
func (b *testbed) startShutdown() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		b.server.Shutdown()
		close(done)
	}()
	b.until("the router is draining", func() bool {
		draining := false
		b.server.engine.Do(func() { draining = b.server.proxy.draining })
		return draining
	})
	return done
}

// awaitShutdown waits for the end of a shutdown, or fails the test after testTimeout.
func (b *testbed) awaitShutdown(done <-chan struct{}) {
	b.t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		b.t.Fatal("the shutdown did not end")
	}
}

// A shutdown begins when the first half of a request has been received. The request must be read completely and
// answered.
func TestShutdownBetweenTheBytesOfARequest(t *testing.T) {
	b, _, release := openHoldingTestbed(t)
	defer b.close()
	close(release)
	id, answer := b.client.Send("page", testserver.RequestParams(1, object, 2*time.Second), nil)
	b.wait(answer)
	request := testserver.Request(id+1, "page", testserver.RequestParams(2, object, 2*time.Second), nil)
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(request[:len(request)/2])
	done := b.startShutdown()
	_, _ = conn.Write(request[len(request)/2:])
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	got := make([]byte, 64)
	if n, err := conn.Read(got); err != nil || !strings.Contains(string(got[:n]), "here") {
		t.Errorf("read %q with error %v, want an answer with body \"here\"", got[:n], err)
	}
	b.awaitShutdown(done)
}

// A shutdown begins while the kernel holds connections that the router has not accepted yet, on which requests
// have been sent. All requests must be answered.
func TestShutdownWithABacklogInTheKernel(t *testing.T) {
	b, _, release := openHoldingTestbed(t)
	defer b.close()
	close(release)
	var clients []*testserver.Client
	var answers []<-chan *testserver.Answer
	step := b.server.BeginShutdown()
	b.server.engine.Do(func() { // under the lock, so that nothing is accepted or read meanwhile
		for i := range 5 {
			c, err := testserver.Connect(b.address)
			if err != nil {
				t.Fatal(err)
			}
			_, answer := c.Send("page", testserver.RequestParams(uint64(100+i), object, 2*time.Second), nil)
			clients, answers = append(clients, c), append(answers, answer)
		}
	})
	for end := time.Now().Add(testTimeout); !step(); time.Sleep(shutdownPollInterval) {
		if time.Now().After(end) {
			t.Fatal("the shutdown did not end")
		}
	}
	for i, answer := range answers {
		if a := b.wait(answer); string(a.Body) != "here" {
			t.Errorf("client %d: %s; want body \"here\"", i, describe(a))
		}
		clients[i].Close()
	}
}

// A shutdown begins while an attempt is in flight. The shutdown must not end before the answer, which arrives after
// minDrainPeriod, was passed on to the client.
func TestShutdownWhileAnAttemptIsInFlight(t *testing.T) {
	b, received, release := openHoldingTestbed(t)
	defer b.close()
	answer := b.send("page", object, 5*time.Second, nil)
	<-received
	done := b.startShutdown()
	select {
	case <-done:
		t.Fatal("the shutdown ended before the request was answered")
	case <-time.After(minDrainPeriod + 2*idlePeriod):
	}
	close(release)
	if a := b.wait(answer); string(a.Body) != "here" {
		t.Errorf("request that was open at the start of the shutdown: %s; want body \"here\"", describe(a))
	}
	b.awaitShutdown(done)
}

// A client cancels its request or disconnects while an attempt is in flight, which is then rejected by the cache.
// The client must get no answer, and the router must not retry.
func TestCanceledBetweenAttempts(t *testing.T) {
	for _, how := range []string{"cancels", "closes"} {
		received, release := make(chan *testserver.CacheRequest, 64), make(chan struct{})
		b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
			received <- g
			<-release
			return &testserver.Reply{Status: "full"}
		})
		c := b.connectClient()
		id, answer := c.Send("page", testserver.RequestParams(7, object, 5*time.Second), nil)
		<-received
		if how == "closes" {
			c.Close()
		} else {
			c.Cancel(id)
		}
		b.until("the front end has dropped the request", func() bool {
			unanswered := true
			b.server.engine.Do(func() { unanswered = !b.server.frontend.Idle() })
			return !unanswered
		})
		close(release)
		b.until("the attempt has ended", func() bool {
			open := 0
			b.server.engine.Do(func() { open = len(b.server.proxy.openTraceIDs) })
			return open == 0
		})
		if n := len(b.edgeRequests()); n != 1 {
			t.Errorf("the client %s: %d attempts, want 1", how, n)
		}
		select {
		case a := <-answer:
			if a != nil {
				t.Errorf("the client %s: %s; want none", how, describe(a))
			}
		default:
		}
		c.Close()
		b.close()
	}
}

// The configuration at the start has limits on connections that the reloaded file does not have. None of them may
// remain in effect after the reload.
func TestReloadKeepsNothingOfAnEarlierFile(t *testing.T) {
	b := openTestbed(t, nil, `"pools":{"clients":3,"caches":5,"each_cache":2,"unread_bytes":300000,"client_idle_ms":1000}`)
	defer b.close()
	path, err := testserver.WriteConfig(t.TempDir(), testserver.Configuration(b.address, b.discovery))
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if err := b.server.Reload(file, b.server.operatorFile); err != nil {
		t.Fatal(err)
	}
	limits, err := file.ConnectionLimits()
	if err != nil || limits.Clients < 10 {
		t.Fatalf("limit of %d clients in the new file, want at least 10; error %v", limits.Clients, err)
	}
	var clients []*testserver.Client
	for i := range 10 { // more than the limit in the first file
		c := b.connectClient()
		_, answer := c.Send("page", testserver.RequestParams(uint64(50+i), object, 2*time.Second), nil)
		if a := b.wait(answer); a.Error != "" {
			t.Errorf("client %d: %s; want no error", i, describe(a))
		}
		clients = append(clients, c)
	}
	for i, c := range clients {
		select {
		case <-c.Closed():
			t.Errorf("connection %d was closed by the limits of the first file", i)
		default:
		}
		c.Close()
	}
}

// Clients cancel their requests or disconnect, without reading, while their answers are being written. All memory
// used for them must be freed, and other clients must be served.
func TestCanceledWhileTheAnswerIsWritten(t *testing.T) {
	b := openTestbed(t, func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
		return &testserver.Reply{Status: "data", Body: []byte(strings.Repeat("x", 200_000))}
	})
	defer b.close()
	for _, how := range []string{"cancels", "closes"} {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		for id := uint64(1); id <= 30; id++ {
			fields := testserver.RequestParams(1000+id+uint64(len(how))<<16, object, 5*time.Second)
			_, _ = conn.Write(testserver.Request(id, "page", fields, nil))
		}
		b.until("an answer is being written", func() bool {
			idle := true
			b.server.engine.Do(func() { idle = b.server.frontend.Idle() })
			return !idle && len(b.edgeRequests()) > 0
		})
		if how == "cancels" {
			for id := byte(1); id <= 30; id++ {
				_, _ = conn.Write([]byte{0x93, 2, 0xa6, 'g', 'i', 'v', 'e', 'U', 'p', 0x91, id})
			}
		} else {
			_ = conn.Close()
		}
		b.until("all requests are released", func() bool {
			open := 1
			b.server.engine.Do(func() { open = len(b.server.proxy.openTraceIDs) })
			return open == 0
		})
		if a := b.wait(b.send("page", object, 2*time.Second, nil)); len(a.Body) != 200_000 {
			t.Errorf("after the client %s, another one got error %q and %d bytes, want 200000 bytes", how, a.Error, len(a.Body))
		}
		_ = conn.Close()
		b.until("no answer is stored", func() bool {
			idle := false
			b.server.engine.Do(func() { idle = b.server.frontend.Idle() })
			return idle
		})
	}
}
