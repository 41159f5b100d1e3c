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

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

const ms = clock.Millisecond

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// party is an owner that notes what it is told.
type party struct {
	conn *transport.Conn
	got  []byte
	err  error
	ends int
	data func(b []byte)
}

func (p *party) Data(b []byte) error {
	p.got = append(p.got, b...)
	if p.data != nil {
		p.data(b)
	}
	return nil
}

func (p *party) Closed(err error) { p.err, p.ends = err, p.ends+1 }

// pair is a server and a client on two machines, with engines of their own.
type pair struct {
	w      *World
	a, b   *Host
	ea, eb *transport.Engine
	came   []*party
	answer func(p *party)
}

const place = "10.0.0.2:80"

func newPair(seed uint32) *pair {
	x := &pair{w: New(seed)}
	x.a, x.b = x.w.Host("a", netip.MustParseAddr("10.0.0.1")), x.w.Host("b", netip.MustParseAddr("10.0.0.2"))
	x.ea = transport.NewWithRuntime(x.a.Start(), quiet())
	x.serve()
	return x
}

func (x *pair) serve() {
	x.eb = transport.NewWithRuntime(x.b.Start(), quiet())
	x.eb.SetMaxAccepted(64)
	_ = x.eb.Listen(place, func(c *transport.Conn) transport.Handler {
		p := &party{conn: c}
		if x.answer != nil {
			x.answer(p)
		}
		x.came = append(x.came, p)
		return p
	})
}

func (x *pair) dial() *party {
	p := &party{}
	x.ea.Do(func() { p.conn = x.ea.Dial(place, time.Second, p) })
	return p
}

// beat has the client's side give connects up that take too long.
func (x *pair) run(span Micros) {
	for end := x.w.Now() + span; x.w.Now() < end; {
		x.w.Run(min(x.w.Now()+20*ms, end))
		if x.a.Running() && !x.a.Paused() {
			x.ea.Do(func() { x.ea.Tick(x.ea.Now()) })
		}
	}
}

// Whatever the sizes, the room of kernels and the width of the way, bytes arrive whole and in order, in both ways at once, and Sent tells how many
// were taken.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newPair(rapid.Uint32().Draw(t, "seed"))
		x.a.SendBuffer, x.b.SendBuffer = rapid.IntRange(1, 5000).Draw(t, "room"), rapid.IntRange(1, 5000).Draw(t, "other")
		x.a.SplitShare = rapid.Float64Range(0, 1).Draw(t, "torn")
		x.w.Link(x.a, x.b).BytesPerMillisecond = rapid.IntRange(0, 2000).Draw(t, "width")
		back := bytes.Repeat([]byte("back"), rapid.IntRange(0, 5000).Draw(t, "back"))
		x.answer = func(p *party) { p.conn.Send(back[:len(back)/2], back[len(back)/2:]) }
		p := x.dial()
		var want []byte
		for i := range rapid.IntRange(1, 12).Draw(t, "sends") {
			b := bytes.Repeat([]byte{byte(i), byte(i * 7)}, rapid.IntRange(0, 4000).Draw(t, "size"))
			x.ea.Do(func() { p.conn.Send(b[:len(b)/3], b[len(b)/3:]) })
			want = append(want, b...)
			x.run(Micros(rapid.IntRange(0, 30).Draw(t, "pause")) * ms)
			if p.conn.Sent() > p.conn.Queued() || p.conn.Queued() != int64(len(want)) {
				t.Fatalf("%d of %d sent", p.conn.Sent(), p.conn.Queued())
			}
		}
		for range 2000 {
			if x.run(100 * ms); len(x.came) == 1 && len(x.came[0].got) == len(want) && len(p.got) == len(back) {
				break
			}
		}
		if len(x.came) != 1 || !bytes.Equal(x.came[0].got, want) || !bytes.Equal(p.got, back) || p.conn.Sent() != int64(len(want)) || p.ends > 0 {
			t.Fatalf("%d connections, other bytes, or %d sent, or %v", len(x.came), p.conn.Sent(), p.err)
		}
	})
}

// How a connection ends, and who hears what: each once.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(x *pair, p *party)
		want error
		up   bool // bytes were taken before it ended
	}{
		"refused":          {func(x *pair, _ *party) { x.b.Kill() }, syscall.ECONNREFUSED, false},
		"hanging":          {func(x *pair, _ *party) { x.b.HangConnects = true }, nil, false},
		"no way there":     {func(x *pair, _ *party) { x.w.Link(x.a, x.b).Cut = true }, nil, false},
		"no way back":      {func(x *pair, _ *party) { x.w.Link(x.b, x.a).Cut = true }, nil, false},
		"the machine gone": {func(x *pair, _ *party) { x.b.SetPartitioned(true) }, nil, false},
		"killed in use":    {func(x *pair, _ *party) { x.run(50 * ms); x.b.Kill() }, syscall.ECONNRESET, true},
		"reset in use": {func(x *pair, _ *party) {
			x.run(50 * ms)
			x.w.Reset(x.a, x.b, 1, func(int, int, bool) bool { return true })
		}, syscall.ECONNRESET, true},
		"closed by the far": {func(x *pair, _ *party) { x.run(50 * ms); x.eb.Do(x.came[0].conn.Close) }, io.EOF, true},
		"half closed":       {func(x *pair, _ *party) { x.run(50 * ms); x.eb.Do(func() { CloseWrite(x.came[0].conn.Socket()) }) }, io.EOF, true},
		"killed and back": {func(x *pair, _ *party) {
			x.run(50 * ms)
			x.b.SetPartitioned(true)
			x.b.Kill()
			x.serve()
			x.b.SetPartitioned(false)
		}, nil, true},
	} {
		x := newPair(1)
		p := x.dial()
		x.ea.Do(func() { p.conn.Send([]byte("a request")) })
		c.do(x, p)
		x.run(400 * ms)
		if c.up != p.conn.Connected() {
			t.Errorf("%s: up %v, %d sent", name, p.conn.Connected(), p.conn.Sent())
		}
		x.run(3 * clock.Second)
		if name == "killed and back" { // nobody knows the connection there: the next bytes are told so
			x.ea.Do(func() { p.conn.Send([]byte("more")) })
			x.run(clock.Second)
			c.want = syscall.ECONNRESET
		}
		if p.ends != 1 || c.want != nil && !errors.Is(p.err, c.want) || c.want == nil && transport.IsLocalError(p.err) != true {
			t.Errorf("%s: told %d times, %v", name, p.ends, p.err)
		}
	}
}

// A way that is cut holds bytes back and loses none; a stopped process reads later and misses none.
func TestHeldBack(t *testing.T) {
	for _, how := range []string{"cut", "stopped", "gone"} {
		x := newPair(2)
		p := x.dial()
		x.run(50 * ms)
		switch how {
		case "cut":
			x.w.Link(x.a, x.b).Cut = true
		case "stopped":
			x.b.Pause()
		default:
			x.b.SetPartitioned(true)
		}
		x.ea.Do(func() { p.conn.Send([]byte("a request")) })
		x.run(2 * clock.Second)
		if len(x.came) > 0 && len(x.came[0].got) > 0 {
			t.Fatalf("%s: %q came", how, x.came[0].got)
		}
		x.w.Link(x.a, x.b).Cut = false
		x.b.Resume()
		x.b.SetPartitioned(false)
		x.run(2 * clock.Second)
		if len(x.came) != 1 || string(x.came[0].got) != "a request" || p.ends > 0 {
			t.Errorf("%s: %v, %v", how, x.came, p.err)
		}
	}
}

// A process that holds as many descriptors as it may begins no connect; one who calls it waits until one is free.
func TestDescriptors(t *testing.T) {
	x := newPair(3)
	p := x.dial()
	x.ea.Do(func() { p.conn.Send([]byte("first")) })
	x.run(50 * ms)
	x.a.MaxDescriptors = 1
	x.ea.Do(func() {
		q := &party{}
		q.conn = x.ea.Dial(place, time.Second, q)
		x.ea.Tick(x.ea.Now().Add(time.Millisecond))
		if q.ends != 1 || q.conn.Connected() {
			t.Errorf("told %d times", q.ends)
		}
	})
	x.a.MaxDescriptors, x.b.MaxDescriptors = 0, 2 // its door, and one connection
	q := x.dial()
	x.ea.Do(func() { q.conn.Send([]byte("late")) })
	x.run(clock.Second)
	if len(x.came) != 1 {
		t.Fatalf("%d taken in", len(x.came))
	}
	x.ea.Do(p.conn.Close)
	x.run(clock.Second)
	if len(x.came) != 2 || string(x.came[1].got) != "late" {
		t.Errorf("%d taken in", len(x.came))
	}
}

// When a byte was given and when a connection was closed can be asked at the other side.
func TestWritten(t *testing.T) {
	x := newPair(4)
	p := x.dial()
	x.run(100 * ms)
	first := x.w.Now()
	x.ea.Do(func() { p.conn.Send([]byte("first")) })
	x.run(300 * ms)
	second := x.w.Now()
	x.ea.Do(func() { p.conn.Send([]byte("second")) })
	x.run(100 * ms)
	at := x.w.Now()
	x.ea.Do(p.conn.Close)
	x.run(100 * ms)
	wire := x.came[0].conn.Socket()
	if a, b, c := WrittenAt(wire, 4), WrittenAt(wire, 5), ClosedAt(wire); a != first || b != second || c != at {
		t.Errorf("%d, %d and %d for %d, %d and %d", a, b, c, first, second, at)
	}
}

// Datagrams are lost, doubled and late as the way says, and never more than what was sent, doubled.
func TestDatagrams(t *testing.T) {
	w := New(5)
	a, b := w.Host("a", netip.MustParseAddr("10.0.0.1")), w.Host("b", netip.MustParseAddr("10.0.0.2"))
	from, _ := a.Start().ListenPacket(netip.MustParseAddrPort("10.0.0.1:7"))
	to, _ := b.Start().ListenPacket(netip.MustParseAddrPort("10.0.0.2:7"))
	w.Link(a, b).LossShare, w.Link(a, b).DuplicateShare = 0.3, 0.2
	var room [64]byte
	count := map[string]int{}
	inverted, last := 0, -1
	for i := range 1000 {
		from.Send([]byte(fmt.Sprint(i)), to.LocalAddr())
		w.Run(w.Now() + 2*ms)
		for n, who, ok := to.Receive(room[:]); ok; n, who, ok = to.Receive(room[:]) {
			if who != from.LocalAddr() {
				t.Fatalf("from %v", who)
			}
			count[string(room[:n])]++
			var k int
			_, _ = fmt.Sscan(string(room[:n]), &k)
			if k < last {
				inverted++
			}
			last = k
		}
	}
	twice := 0
	for _, n := range count {
		if n > 2 {
			t.Fatalf("%d of one", n)
		}
		twice += n - 1
	}
	if len(count) < 600 || len(count) > 800 || twice < 80 || twice > 220 || inverted == 0 {
		t.Errorf("%d came, %d of them twice, %d out of order", len(count), twice, inverted)
	}
	w.Link(a, b).Cut = true
	from.Send([]byte("cut"), to.LocalAddr())
	w.Run(w.Now() + 100*ms)
	for n, _, ok := to.Receive(room[:]); ok; n, _, ok = to.Receive(room[:]) {
		if strings.Contains(string(room[:n]), "cut") {
			t.Error("over a way that is cut")
		}
	}
}

// Calls by turns come after the spans they give, sooner when rung, not while their process is stopped, and never after Stop or in another life.
func TestTurns(t *testing.T) {
	w := New(6)
	h := w.Host("a", netip.MustParseAddr("10.0.0.1"))
	g := h.Start()
	var at []Micros
	ended := 0
	turns := g.StartLoop(func() time.Duration { at = append(at, w.Now()); return 10 * time.Millisecond }, func() { ended++ })
	w.Run(35 * ms)
	if len(at) != 4 || at[3] != 30*ms {
		t.Fatalf("%v", at)
	}
	turns.Wake()
	w.Run(36 * ms)
	if len(at) != 5 || at[4] != 35*ms {
		t.Fatalf("%v", at)
	}
	h.Pause()
	w.Run(100 * ms)
	h.Resume()
	w.Run(105 * ms)
	if len(at) != 6 || at[5] != 100*ms {
		t.Fatalf("%v", at)
	}
	turns.Stop(0)
	turns.Stop(0)
	other := g.StartLoop(func() time.Duration { at = append(at, -1); return time.Millisecond }, func() {})
	h.Kill()
	w.Run(200 * ms)
	if other.Wake(); len(at) != 6 || ended != 1 {
		t.Errorf("%v, ended %d times", at, ended)
	}
}

// One seed is one history; another seed is another.
func TestOneSeedOneHistory(t *testing.T) {
	play := func(seed uint32) uint64 {
		x := newPair(seed)
		x.answer = func(p *party) { p.data = func(b []byte) { p.conn.Send(b, []byte("!")) } }
		for i := range 5 {
			p := x.dial()
			x.ea.Do(func() { p.conn.Send(make([]byte, 3000*i)) })
			x.run(7 * ms)
		}
		x.run(clock.Second)
		return x.w.Hash()
	}
	seen := map[uint64]bool{}
	for seed := range uint32(8) {
		h := play(seed)
		if h != play(seed) || seen[h] {
			t.Errorf("seed %d: %x", seed, h)
		}
		seen[h] = true
	}
}
