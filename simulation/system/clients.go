package system

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"syscall"

	"threadrun/internal/msgpack"
	"threadrun/internal/random"
	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

// clients are all clients: they probe each router after its start, visit it, leave early, and ask again.
type clients struct {
	d              *Simulation
	host           *network.Host
	engine         *transport.Engine
	random         random.Source
	lastRequest    uint64
	surging        overlaps
	surgeFactor    float64
	hotObjectOn    overlaps
	hotObject      int
	canceling      overlaps
	cancelShare    float64
	largeWrites    overlaps
	connections    [][]*clientConn // by router
	nextConnection []int           // connections that are taken in turn
}

const (
	maxConnections = 4
	probeInterval  = 100 * ms
	crossingTime   = 60 * ms // a request that was on its way when its connection was closed is asked again
	maxRetries     = 2
	writeShare     = 0.12
	keyedShare     = 0.08
	maxCancelDelay = 250 * ms
)

// clientConn is a connection to a router.
type clientConn struct {
	clients     *clients
	router      *router
	incarnation int
	conn        *transport.Conn
	input       transport.ReceiveBuffer
	bytesRead   int64
	lastID      uint64
	open        []*clientRequest
	ready       bool // it has answered a probe
	closed      bool
	settled     map[uint64]invariants.RequestID // requests that wait no more
}

// clientRequest is a request that waits for its answer.
type clientRequest struct {
	id       uint64
	request  invariants.RequestID
	sentAt   Micros
	deadline Micros
	class    int
	object   int
	retries  int
	settled  bool
}

// largeBody is near the most that a write may bring: it takes its connection's kernel several goes.
var largeBody = strings.Repeat("w", 45_000)

// classes of the deployment, with what clients wait.
var classes = [...]struct {
	name     string
	effect   invariants.Effect
	patience [3]Micros
}{
	{"page", invariants.Idempotent, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
	{"order", invariants.NonIdempotent, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
	{"mark", invariants.Keyed, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
}

func (c *clients) start() {
	c.engine = transport.NewWithRuntime(c.host.Start(), c.d.quiet)
	for range c.d.routers {
		c.connections, c.nextConnection = append(c.connections, nil), append(c.nextConnection, 0)
	}
	for _, r := range c.d.routers {
		c.scheduleRequest(r)
	}
	c.host.After(20*ms, c.tick)
}

func (c *clients) tick() {
	c.engine.Do(func() { c.engine.Tick(c.engine.Now()) })
	c.host.After(20*ms, c.tick)
}

// connect opens a connection to a router's present life and probes it until it says yes.
func (c *clients) connect(r *router) {
	if len(c.connections[r.index]) >= maxConnections || !r.acceptsClients {
		return
	}
	l := &clientConn{clients: c, router: r, incarnation: r.incarnation, settled: map[uint64]invariants.RequestID{}}
	c.connections[r.index] = append(c.connections[r.index], l)
	c.engine.Do(func() { l.conn = c.engine.Dial(r.address, 1e9, l) })
	l.probe()
}

func (l *clientConn) probe() {
	if l.closed || l.ready {
		return
	}
	l.lastID++
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), l.lastID)
	b = msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr(b, "probe"), 1), 0)
	l.conn.Send(b)
	l.clients.host.After(probeInterval, l.probe)
}

// scheduleRequest has the next visit of a router come, and the one after it.
func (c *clients) scheduleRequest(r *router) {
	rate := c.d.plan.RequestRate
	if c.surging > 0 {
		rate *= c.surgeFactor
	}
	c.host.After(Micros(-math.Log(1-c.random.Float64())/rate*1e6)+1, func() {
		if c.d.world.Now() < c.d.plan.requestsEnd() {
			c.scheduleRequest(r)
		}
		if len(c.connections[r.index]) < maxConnections {
			c.connect(r)
		}
		a := &clientRequest{object: c.drawObject()}
		writes, stamps := writeShare, keyedShare
		if c.largeWrites > 0 {
			writes, stamps = 0.6, 0.4
		}
		switch x := c.random.Float64(); {
		case x < writes:
			a.class = 1
		case x < writes+stamps:
			a.class = 2
		}
		c.request(r, a)
	})
}

func (c *clients) drawObject() int {
	if c.hotObjectOn > 0 && c.random.IntN(2) == 0 {
		return c.hotObject
	}
	// The most asked one in twenty times is well within what its cache can do.
	return min(int(float64(c.d.plan.Objects)*math.Pow(c.random.Float64(), 1.4)), c.d.plan.Objects-1)
}

// request asks a router over one of its connections, if there is one.
func (c *clients) request(r *router, a *clientRequest) {
	all := c.connections[r.index]
	for range all {
		c.nextConnection[r.index]++
		if l := all[c.nextConnection[r.index]%len(all)]; l.ready && !l.closed && len(l.open) < 24 {
			l.send(a)
			return
		}
	}
}

func (l *clientConn) send(a *clientRequest) {
	c, d := l.clients, l.clients.d
	u := &classes[a.class]
	c.lastRequest++
	a.request, a.sentAt = invariants.RequestID(c.lastRequest<<20|c.random.Uint64()&0xfffff), d.world.Now()
	patience := u.patience[c.random.IntN(3)]
	a.deadline = a.sentAt + patience
	l.lastID++
	a.id = l.lastID
	l.open = append(l.open, a)
	fields := [...][2]string{{"trace", fmt.Sprintf("%016x", uint64(a.request))}, {"entity", objectName(a.object)}, {"piece", "0"},
		{"lot", fmt.Sprint(d.groupOf(a.object))}, {"patience", fmt.Sprint(int(patience / ms))}, {"size", fmt.Sprint(sizeKB)}}
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), a.id)
	b = msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr(b, u.name), 2), len(fields))
	for _, f := range fields {
		b = msgpack.AppendStr(msgpack.AppendStr(b, f[0]), f[1])
	}
	text := ""
	if u.effect != invariants.Idempotent {
		if text = "a write"; c.largeWrites > 0 {
			text = largeBody
		}
	}
	b = append(msgpack.AppendBinHead(b, len(text)), text...)
	d.observe(invariants.Event{Kind: invariants.RequestSent, Request: a.request, Router: l.router.id(), Effect: u.effect, Deadline: a.deadline,
		Object: uint64(a.object), Group: d.groupOf(a.object)})
	l.conn.Send(b)
	if l.incarnation != l.router.incarnation || !l.router.host.Running() { // it is not taken: the connection leads to who is no more
		d.observe(invariants.Event{Kind: invariants.ConnectionFault, Request: a.request})
	}
	c.host.After(patience+200*ms, func() { l.cancel(a) })
	if c.canceling > 0 && c.random.Float64() < c.cancelShare {
		c.host.After(Micros(c.random.IntN(int(maxCancelDelay))), func() {
			if a.settled {
				return
			}
			l.cancel(a)
			if again := *a; again.retries < maxRetries && u.effect == invariants.Idempotent { // and asks again under a new mark
				again.retries++
				again.settled = false
				c.request(l.router, &again)
			}
		})
	}
}

// cancel stops waiting for an answer.
func (l *clientConn) cancel(a *clientRequest) {
	if a.settled {
		return
	}
	l.settle(a)
	b := msgpack.AppendStr(msgpack.AppendUint(msgpack.AppendArray(nil, 3), 2), "giveUp")
	l.conn.Send(msgpack.AppendUint(msgpack.AppendArray(b, 1), a.id))
	if l.clients.d.world.Now() < a.deadline {
		l.clients.d.observe(invariants.Event{Kind: invariants.ClientLeft, Request: a.request})
	}
}

func (l *clientConn) settle(a *clientRequest) {
	a.settled = true
	l.settled[a.id] = a.request
	for i, o := range l.open {
		if o == a {
			l.open = append(l.open[:i], l.open[i+1:]...)
			return
		}
	}
}

func (l *clientConn) Data(b []byte) error { return l.input.Decode(l.clients.engine, b, l) }

// Next reads the answer that b begins with.
func (l *clientConn) Next(b []byte) (int, error) {
	size, err := msgpack.Size(b, 1<<20)
	if errors.Is(err, msgpack.ErrShort) {
		return 0, nil
	}
	if err != nil {
		l.clients.d.problem("a client read what is no answer: %v", err)
		return 0, err
	}
	// Its last byte counts: the answer is whole with that.
	at := network.WrittenAt(l.conn.Socket(), l.bytesRead+int64(size)-1)
	l.bytesRead += int64(size)
	return size, l.answer(b[:size], at)
}

func (l *clientConn) answer(b []byte, at Micros) error {
	d := l.clients.d
	r := msgpack.Read(b)
	if r.Array() != 4 || r.Uint() != 1 {
		d.problem("a client read an odd answer")
		return io.ErrUnexpectedEOF
	}
	id := r.Uint()
	word, why := invariants.Succeeded, ""
	if r.Peek() == msgpack.Array {
		r.Array()
		why = string(r.Bytes())
		if word = invariants.Failed; why == "Shed" {
			word = invariants.Rejected
		}
	} else {
		r.Skip()
		r.Array()
		if r.Peek() == msgpack.Bool {
			if r.Truth() && !l.ready {
				l.ready = true
				l.router.becameReady()
			}
			return nil
		}
	}
	for _, a := range l.open {
		if a.id != id {
			continue
		}
		l.settle(a)
		d.observe(invariants.Event{Kind: invariants.ResponseReceived, Request: a.request, Router: l.router.id(), Outcome: word, SentAt: at})
		if a.retries < maxRetries && (word == invariants.Rejected || word == invariants.Failed && classes[a.class].effect == invariants.Idempotent) {
			again := *a
			again.retries++
			again.settled = false
			l.clients.host.After(Micros(100+l.clients.random.IntN(400))*ms, func() { l.clients.request(l.router, &again) })
		}
		return nil
	}
	visit, ok := l.settled[id] // it crossed a giving up, or is one too many
	if !ok {
		d.problem("an answer to a request that was not made")
	}
	d.observe(invariants.Event{Kind: invariants.ResponseReceived, Request: visit, Router: l.router.id(), Outcome: word, SentAt: at})
	return nil
}

// Closed hears that the connection ended: by the router, or by what ended the router or the way.
func (l *clientConn) Closed(err error) {
	d := l.clients.d
	l.closed = true
	all := l.clients.connections[l.router.index]
	for i, o := range all {
		if o == l {
			l.clients.connections[l.router.index] = append(all[:i], all[i+1:]...)
			break
		}
	}
	died := l.router.incarnation != l.incarnation || !l.router.host.Running() || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) || !l.ready
	open := l.open
	l.open = nil
	for _, a := range open {
		a.settled = true
		what := invariants.ConnectionDropped
		if died || d.world.Now()-a.sentAt < crossingTime {
			what = invariants.ConnectionFault
		}
		d.observe(invariants.Event{Kind: what, Request: a.request})
	}
}
