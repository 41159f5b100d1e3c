package service

import (
	"net"
	"strings"
	"testing"
	"time"

	"threadrun/internal/deployment"
	"threadrun/internal/testserver"
)

// Each test forces one race of docs/races.md: it holds the engine's lock, or a test server's answer, while the
// other event happens.

// openHeld opens a testbed whose caches answer when release is closed.
func openHeld(t *testing.T) (b *testbed, asked chan *testserver.CacheRequest, release chan struct{}) {
	asked, release = make(chan *testserver.CacheRequest, 64), make(chan struct{})
	b = openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		asked <- g
		<-release
		return &testserver.Reply{Status: "data", Body: []byte("here")}
	})
	return b, asked, release
}

// shutDownMeanwhile starts a shutdown and returns a channel that is closed when it has ended.
func (b *testbed) shutDownMeanwhile() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		b.server.Shutdown()
		close(done)
	}()
	b.until("draining", func() bool {
		draining := false
		b.server.engine.Do(func() { draining = b.server.proxy.draining })
		return draining
	})
	return done
}

func (b *testbed) awaitShutdown(done <-chan struct{}) {
	b.t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		b.t.Fatal("the shutdown did not end")
	}
}

// Shutdown begins between the bytes of a request, which must be read completely and answered.
func TestShutdownBetweenTheBytesOfARequest(t *testing.T) {
	b, _, release := openHeld(t)
	defer b.close()
	close(release)
	no, answer := b.client.Send("page", testserver.RequestParams(1, object, 2*time.Second), nil)
	b.wait(answer)
	whole := testserver.Request(no+1, "page", testserver.RequestParams(2, object, 2*time.Second), nil)
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(whole[:len(whole)/2])
	done := b.shutDownMeanwhile()
	_, _ = conn.Write(whole[len(whole)/2:])
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	got := make([]byte, 64)
	if n, err := conn.Read(got); err != nil || !strings.Contains(string(got[:n]), "here") {
		t.Errorf("read %q, %v", got[:n], err)
	}
	b.awaitShutdown(done)
}

// Shutdown begins while connections wait to be accepted and have sent requests, which must all be answered.
func TestShutdownWithABacklogInTheKernel(t *testing.T) {
	b, _, release := openHeld(t)
	defer b.close()
	close(release)
	var late []*testserver.Client
	var answers []<-chan *testserver.Answer
	step := b.server.BeginShutdown()
	b.server.engine.Do(func() { // nothing is accepted or read meanwhile
		for no := range 5 {
			c, err := testserver.Connect(b.address)
			if err != nil {
				t.Fatal(err)
			}
			_, answer := c.Send("page", testserver.RequestParams(uint64(100+no), object, 2*time.Second), nil)
			late, answers = append(late, c), append(answers, answer)
		}
	})
	for end := time.Now().Add(testTimeout); !step(); time.Sleep(shutdownPollInterval) {
		if time.Now().After(end) {
			t.Fatal("the shutdown did not end")
		}
	}
	for i, answer := range answers {
		if a := b.wait(answer); string(a.Body) != "here" {
			t.Errorf("%d: %+v", i, a)
		}
		late[i].Close()
	}
}

// Shutdown begins while an attempt is in flight: its answer must be passed on before the end, however late it
// arrives.
func TestShutdownWhileAnAttemptIsOut(t *testing.T) {
	b, asked, release := openHeld(t)
	defer b.close()
	answer := b.ask("page", object, 5*time.Second, nil)
	<-asked
	done := b.shutDownMeanwhile()
	select {
	case <-done:
		t.Fatal("the shutdown ended before the request was answered")
	case <-time.After(minDrainPeriod + 2*idlePeriod):
	}
	close(release)
	if a := b.wait(answer); string(a.Body) != "here" {
		t.Errorf("%+v", a)
	}
	b.awaitShutdown(done)
}

// A client that cancels or disconnects while its attempt is in flight must get no answer, and there must be no
// retry although the first attempt fails.
func TestCanceledBetweenAttempts(t *testing.T) {
	for _, how := range []string{"cancels", "closes"} {
		asked, release := make(chan *testserver.CacheRequest, 64), make(chan struct{})
		b := openTestbed(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
			asked <- g
			<-release
			return &testserver.Reply{Status: "full"}
		})
		c := b.connectClient()
		no, answer := c.Send("page", testserver.RequestParams(7, object, 5*time.Second), nil)
		<-asked
		if how == "closes" {
			c.Close()
		} else {
			c.Cancel(no)
		}
		b.until("the request is taken off", func() bool {
			owed := true
			b.server.engine.Do(func() { owed = !b.server.frontend.Idle() })
			return !owed
		})
		close(release)
		b.until("the attempt has ended", func() bool {
			open := 0
			b.server.engine.Do(func() { open = len(b.server.proxy.openTraceIDs) })
			return open == 0
		})
		if n := len(b.edgeRequests()); n != 1 {
			t.Errorf("%s: %d attempts", how, n)
		}
		select {
		case a := <-answer:
			if a != nil {
				t.Errorf("%s: answered %+v", how, a)
			}
		default:
		}
		c.Close()
		b.close()
	}
}

// After two files in succession, nothing enabled by the first may remain with the second, whether applied by SIGHUP
// or at a start.
func TestReloadKeepsNothingOfAnEarlierFile(t *testing.T) {
	b := openTestbed(t, nil, `"pools":{"clients":3,"caches":5,"each_cache":2,"unread_bytes":300000,"client_idle_ms":1000}`)
	defer b.close()
	plain, err := testserver.WriteConfig(t.TempDir(), testserver.Configuration(b.address, b.discovery))
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(plain, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if err := b.server.Reload(file, b.server.operatorFile); err != nil {
		t.Fatal(err)
	}
	limits, err := file.ConnectionLimits()
	if err != nil || limits.Clients < 10 {
		t.Fatalf("%d clients, %v", limits.Clients, err)
	}
	var all []*testserver.Client
	for no := range 10 { // more than the limit in the first file
		c := b.connectClient()
		_, answer := c.Send("page", testserver.RequestParams(uint64(50+no), object, 2*time.Second), nil)
		if a := b.wait(answer); a.Error != "" {
			t.Errorf("%+v", a)
		}
		all = append(all, c)
	}
	for i, c := range all {
		select {
		case <-c.Closed():
			t.Errorf("connection %d was closed according to the first file", i)
		default:
		}
		c.Close()
	}
}

// Clients cancel or disconnect without reading while their answers are being written: all memory used for them must
// be freed, and other clients must be served.
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
		for no := uint64(1); no <= 30; no++ {
			fields := testserver.RequestParams(1000+no+uint64(len(how))<<16, object, 5*time.Second)
			_, _ = conn.Write(testserver.Request(no, "page", fields, nil))
		}
		b.until("an answer is being written", func() bool {
			quiet := true
			b.server.engine.Do(func() { quiet = b.server.frontend.Idle() })
			return !quiet && len(b.edgeRequests()) > 0
		})
		if how == "cancels" {
			for no := byte(1); no <= 30; no++ {
				_, _ = conn.Write([]byte{0x93, 2, 0xa6, 'g', 'i', 'v', 'e', 'U', 'p', 0x91, no})
			}
		} else {
			_ = conn.Close()
		}
		b.until("all requests are over", func() bool {
			open := 1
			b.server.engine.Do(func() { open = len(b.server.proxy.openTraceIDs) })
			return open == 0
		})
		if a := b.wait(b.ask("page", object, 2*time.Second, nil)); len(a.Body) != 200_000 {
			t.Errorf("%s: another client got error %q, %d bytes", how, a.Error, len(a.Body))
		}
		_ = conn.Close()
		b.until("nothing is held", func() bool {
			quiet := false
			b.server.engine.Do(func() { quiet = b.server.frontend.Idle() })
			return quiet
		})
	}
}
