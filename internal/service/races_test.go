package service

import (
	"net"
	"strings"
	"testing"
	"time"

	"threadrun/internal/deployment"
	"threadrun/internal/testserver"
)

// Each test forces one crossing of docs/races.md: the engine's lock is held, or a stand-in holds its answer, while the other event comes.

// held is a branch whose caches answer once they are let to.
func held(t *testing.T) (b *branch, asked chan *testserver.Get, let chan struct{}) {
	asked, let = make(chan *testserver.Get, 64), make(chan struct{})
	b = open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		asked <- g
		<-let
		return &testserver.Reply{Word: "data", Body: []byte("here")}
	})
	return b, asked, let
}

// leaveMeanwhile begins to leave; the result is closed when all is over.
func (b *branch) leaveMeanwhile() <-chan struct{} {
	left := make(chan struct{})
	go func() {
		b.router.Shutdown()
		close(left)
	}()
	b.until("leaving", func() bool {
		leaving := false
		b.router.engine.Do(func() { leaving = b.router.proxy.draining })
		return leaving
	})
	return left
}

func (b *branch) ended(left <-chan struct{}) {
	b.t.Helper()
	select {
	case <-left:
	case <-time.After(long):
		b.t.Fatal("never left")
	}
}

// The word to end comes between the bytes of a request: it is read whole and answered.
func TestLeavingBetweenTheBytesOfARequest(t *testing.T) {
	b, _, let := held(t)
	defer b.close()
	close(let)
	no, answer := b.client.Ask("page", testserver.Visit(1, object, 2*time.Second), nil)
	b.wait(answer)
	whole := testserver.Request(no+1, "page", testserver.Visit(2, object, 2*time.Second), nil)
	conn, err := net.Dial("tcp", b.door)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(whole[:len(whole)/2])
	left := b.leaveMeanwhile()
	_, _ = conn.Write(whole[len(whole)/2:])
	_ = conn.SetReadDeadline(time.Now().Add(long))
	got := make([]byte, 64)
	if n, err := conn.Read(got); err != nil || !strings.Contains(string(got[:n]), "here") {
		t.Errorf("read %q, %v", got[:n], err)
	}
	b.ended(left)
}

// The word to end comes while connections wait to be accepted and requests lie on them: all are answered.
func TestLeavingWithABacklogInTheKernel(t *testing.T) {
	b, _, let := held(t)
	defer b.close()
	close(let)
	var late []*testserver.Client
	var answers []<-chan *testserver.Answer
	step := b.router.BeginShutdown()
	b.router.engine.Do(func() { // nothing is accepted or read meanwhile
		for no := range 5 {
			c, err := testserver.Connect(b.door)
			if err != nil {
				t.Fatal(err)
			}
			_, answer := c.Ask("page", testserver.Visit(uint64(100+no), object, 2*time.Second), nil)
			late, answers = append(late, c), append(answers, answer)
		}
	})
	for end := time.Now().Add(long); !step(); time.Sleep(shutdownPollInterval) {
		if time.Now().After(end) {
			t.Fatal("never left")
		}
	}
	for i, answer := range answers {
		if a := b.wait(answer); string(a.Body) != "here" {
			t.Errorf("%d: %+v", i, a)
		}
		late[i].Close()
	}
}

// The word to end comes while an attempt is out: its answer is passed on before the end, however much later it comes.
func TestLeavingWhileAnAttemptIsOut(t *testing.T) {
	b, asked, let := held(t)
	defer b.close()
	answer := b.ask("page", object, 5*time.Second, nil)
	<-asked
	left := b.leaveMeanwhile()
	select {
	case <-left:
		t.Fatal("left with an answer owed")
	case <-time.After(minDrain + 2*idleFor):
	}
	close(let)
	if a := b.wait(answer); string(a.Body) != "here" {
		t.Errorf("%+v", a)
	}
	b.ended(left)
}

// A client that cancels, or closes, while its attempt is out gets nothing more, and no further attempt begins though the first fails.
func TestCancelledBetweenAttempts(t *testing.T) {
	for _, how := range []string{"cancels", "closes"} {
		asked, let := make(chan *testserver.Get, 64), make(chan struct{})
		b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
			asked <- g
			<-let
			return &testserver.Reply{Word: "full"}
		})
		c := b.connect()
		no, answer := c.Ask("page", testserver.Visit(7, object, 5*time.Second), nil)
		<-asked
		if how == "closes" {
			c.Close()
		} else {
			c.GiveUp(no)
		}
		b.until("the request is taken off", func() bool {
			owed := true
			b.router.engine.Do(func() { owed = !b.router.frontend.Idle() })
			return !owed
		})
		close(let)
		b.until("the attempt has ended", func() bool {
			open := 0
			b.router.engine.Do(func() { open = len(b.router.proxy.openTraceIDs) })
			return open == 0
		})
		if n := len(b.edges()); n != 1 {
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

// Bytes of two settings files: what the first one switched on is gone with the second, be it taken up by SIGHUP or at a start.
func TestNothingIsLeftOfAnEarlierFile(t *testing.T) {
	b := open(t, nil, `"pools":{"clients":3,"caches":5,"each_cache":2,"unread_bytes":300000,"client_idle_ms":1000}`)
	defer b.close()
	plain, err := testserver.Write(t.TempDir(), testserver.Configuration(b.door, b.board))
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(plain, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if err := b.router.Reload(file, b.router.operatorFile); err != nil {
		t.Fatal(err)
	}
	limits, err := file.ConnectionLimits()
	if err != nil || limits.Clients < 10 {
		t.Fatalf("%d clients, %v", limits.Clients, err)
	}
	var all []*testserver.Client
	for no := range 10 { // over the bound of the first file
		c := b.connect()
		_, answer := c.Ask("page", testserver.Visit(uint64(50+no), object, 2*time.Second), nil)
		if a := b.wait(answer); a.Error != "" {
			t.Errorf("%+v", a)
		}
		all = append(all, c)
	}
	for i, c := range all {
		select {
		case <-c.Ended():
			t.Errorf("connection %d was ended, as the first file had it", i)
		default:
		}
		c.Close()
	}
}

// Clients cancel, or close, while their answers are being written and they read nothing: all that is held for them goes, and others are served.
func TestCancelledWhileTheAnswerIsWritten(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		return &testserver.Reply{Word: "data", Body: []byte(strings.Repeat("x", 200_000))}
	})
	defer b.close()
	for _, how := range []string{"cancels", "closes"} {
		conn, err := net.Dial("tcp", b.door)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		for no := uint64(1); no <= 30; no++ {
			_, _ = conn.Write(testserver.Request(no, "page", testserver.Visit(1000+no+uint64(len(how))<<16, object, 5*time.Second), nil))
		}
		b.until("an answer is being written", func() bool {
			quiet := true
			b.router.engine.Do(func() { quiet = b.router.frontend.Idle() })
			return !quiet && len(b.edges()) > 0
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
			b.router.engine.Do(func() { open = len(b.router.proxy.openTraceIDs) })
			return open == 0
		})
		if a := b.wait(b.ask("page", object, 2*time.Second, nil)); len(a.Body) != 200_000 {
			t.Errorf("%s: another client got %q, %d bytes", how, a.Error, len(a.Body))
		}
		_ = conn.Close()
		b.until("nothing is held", func() bool {
			quiet := false
			b.router.engine.Do(func() { quiet = b.router.frontend.Idle() })
			return quiet
		})
	}
}
