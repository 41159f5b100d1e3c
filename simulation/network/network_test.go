package network

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/testseed"
	"threadrun/internal/transport"
)

// TestMain makes the property tests use the same seeds in each run.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const ms = clock.Millisecond

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// owner is the Handler of a connection and records what it is notified of.
type owner struct {
	conn     *transport.Conn
	received []byte
	err      error // of the last call of Closed
	closed   int   // number of calls of Closed
	onData   func(b []byte)
}

func (p *owner) Data(b []byte) error {
	p.received = append(p.received, b...)
	if p.onData != nil {
		p.onData(b)
	}
	return nil
}

func (p *owner) Closed(err error) { p.err, p.closed = err, p.closed+1 }

// pair is a client and a server on two hosts.
type pair struct {
	world                      *World
	client, server             *Host
	clientEngine, serverEngine *transport.Engine
	accepted                   []*owner // of the server's connections
	onAccept                   func(p *owner)
}

const serverAddress = "10.0.0.2:80"

func newPair(seed uint32) *pair {
	x := &pair{world: New(seed)}
	x.client = x.world.AddHost("client", netip.MustParseAddr("10.0.0.1"))
	x.server = x.world.AddHost("server", netip.MustParseAddr("10.0.0.2"))
	x.clientEngine = transport.NewWithRuntime(x.client.Start(), discardLogger())
	x.serve()
	return x
}

// serve starts a new process on the server's host, which listens on serverAddress.
func (x *pair) serve() {
	x.serverEngine = transport.NewWithRuntime(x.server.Start(), discardLogger())
	x.serverEngine.SetMaxAccepted(64)
	_ = x.serverEngine.Listen(serverAddress, func(c *transport.Conn) transport.Handler {
		p := &owner{conn: c}
		if x.onAccept != nil {
			x.onAccept(p)
		}
		x.accepted = append(x.accepted, p)
		return p
	})
}

func (x *pair) dial() *owner {
	p := &owner{}
	x.clientEngine.Do(func() { p.conn = x.clientEngine.Dial(serverAddress, time.Second, p) })
	return p
}

// run advances the time and ticks the client's engine every 20 ms, so that its connects can time out.
func (x *pair) run(span Micros) {
	for end := x.world.Now() + span; x.world.Now() < end; {
		x.world.Run(min(x.world.Now()+20*ms, end))
		if x.client.Running() && !x.client.Paused() {
			x.clientEngine.Do(func() { x.clientEngine.Tick(x.clientEngine.Now()) })
		}
	}
}

// All bytes sent in either direction must arrive in order, for any message sizes, send buffers, segment sizes and link
// rates. Sent must never exceed Enqueued and must reach the number of bytes queued.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newPair(rapid.Uint32().Draw(t, "seed"))
		x.client.SendBuffer = rapid.IntRange(1, 5000).Draw(t, "client buffer")
		x.server.SendBuffer = rapid.IntRange(1, 5000).Draw(t, "server buffer")
		x.client.SplitShare = rapid.Float64Range(0, 1).Draw(t, "split share")
		x.world.Link(x.client, x.server).BytesPerMillisecond = rapid.IntRange(0, 2000).Draw(t, "rate")
		answer := bytes.Repeat([]byte("word"), rapid.IntRange(0, 5000).Draw(t, "answer"))
		x.onAccept = func(p *owner) { p.conn.Send(answer[:len(answer)/2], answer[len(answer)/2:]) }
		p := x.dial()
		var want []byte
		for i := range rapid.IntRange(1, 12).Draw(t, "sends") {
			b := bytes.Repeat([]byte{byte(i), byte(i * 7)}, rapid.IntRange(0, 4000).Draw(t, "size"))
			x.clientEngine.Do(func() { p.conn.Send(b[:len(b)/3], b[len(b)/3:]) })
			want = append(want, b...)
			x.run(Micros(rapid.IntRange(0, 30).Draw(t, "pause")) * ms)
			if p.conn.Sent() > p.conn.Enqueued() || p.conn.Enqueued() != int64(len(want)) {
				t.Fatalf("%d bytes sent, %d queued, want %d queued", p.conn.Sent(), p.conn.Enqueued(), len(want))
			}
		}
		for range 2000 {
			x.run(100 * ms)
			if len(x.accepted) == 1 && len(x.accepted[0].received) == len(want) && len(p.received) == len(answer) {
				break
			}
		}
		if len(x.accepted) != 1 || !bytes.Equal(x.accepted[0].received, want) || !bytes.Equal(p.received, answer) ||
			p.conn.Sent() != int64(len(want)) || p.closed > 0 {
			t.Fatalf("%d connections, want 1; %d bytes sent, want %d; %d bytes of the answer arrived, want %d; "+
				"received bytes differ, or the connection was closed: %v",
				len(x.accepted), p.conn.Sent(), len(want), len(p.received), len(answer), p.err)
		}
	})
}

// The owner of a connection must be notified of its end exactly once, with the error that belongs to the cause.
func TestConnectionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		do        func(x *pair) // causes the end
		want      error         // nil: any error for which transport.IsLocalError returns true
		connected bool          // the connection is established before it ends
	}{
		"refused":                  {func(x *pair) { x.server.Kill() }, syscall.ECONNREFUSED, false},
		"connect unanswered":       {func(x *pair) { x.server.HangConnects = true }, nil, false},
		"link to the server cut":   {func(x *pair) { x.world.Link(x.client, x.server).Cut = true }, nil, false},
		"link from the server cut": {func(x *pair) { x.world.Link(x.server, x.client).Cut = true }, nil, false},
		"partitioned":              {func(x *pair) { x.server.SetPartitioned(true) }, nil, false},
		"killed in use":            {func(x *pair) { x.run(50 * ms); x.server.Kill() }, syscall.ECONNRESET, true},
		"reset in use": {func(x *pair) {
			x.run(50 * ms)
			x.world.ResetConnections(x.client, x.server, 1, func(int, int, bool) bool { return true })
		}, syscall.ECONNRESET, true},
		"closed by the server": {func(x *pair) { x.run(50 * ms); x.serverEngine.Do(x.accepted[0].conn.Close) }, io.EOF, true},
		"half closed": {func(x *pair) {
			x.run(50 * ms)
			x.serverEngine.Do(func() { x.accepted[0].conn.CloseWrite() })
		}, io.EOF, true},
		"killed and restarted": {func(x *pair) {
			x.run(50 * ms)
			x.server.SetPartitioned(true)
			x.server.Kill()
			x.serve()
			x.server.SetPartitioned(false)
		}, nil, true},
	} {
		x := newPair(1)
		p := x.dial()
		x.clientEngine.Do(func() { p.conn.Send([]byte("a request")) })
		c.do(x)
		x.run(400 * ms)
		if c.connected != p.conn.Connected() {
			t.Errorf("%s: connected: %v, want %v; %d bytes sent", name, p.conn.Connected(), c.connected, p.conn.Sent())
		}
		x.run(3 * clock.Second)
		if name == "killed and restarted" { // the new process resets a connection that it does not know
			x.clientEngine.Do(func() { p.conn.Send([]byte("more")) })
			x.run(clock.Second)
			c.want = syscall.ECONNRESET
		}
		if p.closed != 1 || c.want != nil && !errors.Is(p.err, c.want) || c.want == nil && !transport.IsLocalError(p.err) {
			t.Errorf("%s: notified %d times, want 1; error %v, want %v (nil: any local error)", name, p.closed, p.err, c.want)
		}
	}
}

// Bytes sent while the link is cut, the server is paused or its host is partitioned must not reach the server before
// the fault ends, and must all arrive afterward.
func TestBytesAreHeldBack(t *testing.T) {
	for _, fault := range []string{"cut", "paused", "partitioned"} {
		x := newPair(2)
		p := x.dial()
		x.run(50 * ms)
		switch fault {
		case "cut":
			x.world.Link(x.client, x.server).Cut = true
		case "paused":
			x.server.Pause()
		default:
			x.server.SetPartitioned(true)
		}
		x.clientEngine.Do(func() { p.conn.Send([]byte("a request")) })
		x.run(2 * clock.Second)
		if len(x.accepted) > 0 && len(x.accepted[0].received) > 0 {
			t.Fatalf("%s: %q arrived during the fault", fault, x.accepted[0].received)
		}
		x.world.Link(x.client, x.server).Cut = false
		x.server.Resume()
		x.server.SetPartitioned(false)
		x.run(2 * clock.Second)
		if len(x.accepted) != 1 || string(x.accepted[0].received) != "a request" || p.closed > 0 {
			t.Errorf("%s: accepted connections %v, error %v", fault, x.accepted, p.err)
		}
	}
}

// A process without a free descriptor must fail to connect, and must accept a connection only once a descriptor is
// free.
func TestDescriptorLimit(t *testing.T) {
	x := newPair(3)
	p := x.dial()
	x.clientEngine.Do(func() { p.conn.Send([]byte("first")) })
	x.run(50 * ms)
	x.client.MaxDescriptors = 1
	x.clientEngine.Do(func() {
		q := &owner{}
		q.conn = x.clientEngine.Dial(serverAddress, time.Second, q)
		x.clientEngine.Tick(x.clientEngine.Now().Add(time.Millisecond))
		if q.closed != 1 || q.conn.Connected() {
			t.Errorf("without a descriptor: notified %d times, want 1; connected: %v", q.closed, q.conn.Connected())
		}
	})
	x.client.MaxDescriptors, x.server.MaxDescriptors = 0, 2 // the listener, and one connection
	q := x.dial()
	x.clientEngine.Do(func() { q.conn.Send([]byte("late")) })
	x.run(clock.Second)
	if len(x.accepted) != 1 {
		t.Fatalf("%d connections accepted, want 1", len(x.accepted))
	}
	x.clientEngine.Do(p.conn.Close)
	x.run(clock.Second)
	if len(x.accepted) != 2 || string(x.accepted[1].received) != "late" {
		t.Errorf("%d connections accepted after a descriptor became free, want 2", len(x.accepted))
	}
}

// WrittenAt and ClosedAt must return when the other end sent a byte and when it closed the connection.
func TestWrittenAtAndClosedAt(t *testing.T) {
	x := newPair(4)
	p := x.dial()
	x.run(100 * ms)
	first := x.world.Now()
	x.clientEngine.Do(func() { p.conn.Send([]byte("first")) })
	x.run(300 * ms)
	second := x.world.Now()
	x.clientEngine.Do(func() { p.conn.Send([]byte("second")) })
	x.run(100 * ms)
	closed := x.world.Now()
	x.clientEngine.Do(p.conn.Close)
	x.run(100 * ms)
	connection := x.accepted[0].conn.Socket()
	a, b, c := WrittenAt(connection, 4), WrittenAt(connection, 5), ClosedAt(connection)
	if a != first || b != second || c != closed {
		t.Errorf("written at %d and %d, closed at %d, want %d, %d and %d", a, b, c, first, second, closed)
	}
}

// Datagrams must be lost, duplicated and reordered as the link's properties say; none may arrive more than twice, and
// none over a link that is cut.
func TestDatagrams(t *testing.T) {
	w := New(5)
	a, b := w.AddHost("a", netip.MustParseAddr("10.0.0.1")), w.AddHost("b", netip.MustParseAddr("10.0.0.2"))
	from, _ := a.Start().ListenPacket(netip.MustParseAddrPort("10.0.0.1:7"))
	to, _ := b.Start().ListenPacket(netip.MustParseAddrPort("10.0.0.2:7"))
	w.Link(a, b).LossShare, w.Link(a, b).DuplicateShare = 0.3, 0.2
	var buffer [64]byte
	count := map[string]int{}
	reordered, last := 0, -1
	for i := range 1000 {
		from.Send([]byte(fmt.Sprint(i)), to.LocalAddr())
		w.Run(w.Now() + 2*ms)
		for n, sender, ok := to.Receive(buffer[:]); ok; n, sender, ok = to.Receive(buffer[:]) {
			if sender != from.LocalAddr() {
				t.Fatalf("a datagram from %v, want %v", sender, from.LocalAddr())
			}
			count[string(buffer[:n])]++
			var k int
			_, _ = fmt.Sscan(string(buffer[:n]), &k)
			if k < last {
				reordered++
			}
			last = k
		}
	}
	twice := 0
	for _, n := range count {
		if n > 2 {
			t.Fatalf("a datagram arrived %d times", n)
		}
		twice += n - 1
	}
	if len(count) < 600 || len(count) > 800 || twice < 80 || twice > 220 || reordered == 0 {
		t.Errorf("%d of 1000 datagrams arrived, %d of them twice, %d out of order", len(count), twice, reordered)
	}
	w.Link(a, b).Cut = true
	from.Send([]byte("cut"), to.LocalAddr())
	w.Run(w.Now() + 100*ms)
	for n, _, ok := to.Receive(buffer[:]); ok; n, _, ok = to.Receive(buffer[:]) {
		if strings.Contains(string(buffer[:n]), "cut") {
			t.Error("a datagram over a link that is cut")
		}
	}
}

// A loop must call its step after the durations that the step returns, at once after Wake, not while the process is
// paused, and never after Stop or after the end of its process. Stop must call onEnd once.
func TestLoop(t *testing.T) {
	w := New(6)
	host := w.AddHost("a", netip.MustParseAddr("10.0.0.1"))
	runtime := host.Start()
	var at []Micros
	ended := 0
	step := func() time.Duration {
		at = append(at, w.Now())
		return 10 * time.Millisecond
	}
	loop := runtime.StartLoop(step, func() { ended++ })
	w.Run(35 * ms)
	if len(at) != 4 || at[3] != 30*ms {
		t.Fatalf("calls at %v", at)
	}
	loop.Wake()
	w.Run(36 * ms)
	if len(at) != 5 || at[4] != 35*ms {
		t.Fatalf("calls at %v", at)
	}
	host.Pause()
	w.Run(100 * ms)
	host.Resume()
	w.Run(105 * ms)
	if len(at) != 6 || at[5] != 100*ms {
		t.Fatalf("calls at %v", at)
	}
	loop.Stop(0)
	loop.Stop(0)
	other := runtime.StartLoop(func() time.Duration { at = append(at, -1); return time.Millisecond }, func() {})
	host.Kill()
	w.Run(200 * ms)
	other.Wake()
	if len(at) != 6 || ended != 1 {
		t.Errorf("calls at %v, want 6; onEnd called %d times, want 1", at, ended)
	}
}

// The same seed must produce the same history, and different seeds different histories.
func TestOneSeedOneHistory(t *testing.T) {
	history := func(seed uint32) uint64 {
		x := newPair(seed)
		x.onAccept = func(p *owner) { p.onData = func(b []byte) { p.conn.Send(b, []byte("!")) } }
		for i := range 5 {
			p := x.dial()
			x.clientEngine.Do(func() { p.conn.Send(make([]byte, 3000*i)) })
			x.run(7 * ms)
		}
		x.run(clock.Second)
		return x.world.Hash()
	}
	hashes := map[uint64]bool{}
	for seed := range uint32(8) {
		h := history(seed)
		if h != history(seed) || hashes[h] {
			t.Errorf("seed %d: hash %x is not reproduced, or is that of another seed", seed, h)
		}
		hashes[h] = true
	}
}
