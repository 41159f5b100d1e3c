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
	d      *Simulation
	host   *network.Host
	open   *transport.Engine
	chance random.Source
	marks  uint64
	crowd  nested
	times  float64
	hot    nested
	object int
	leave  nested
	share  float64
	heavy  nested
	lines  [][]*line // by router
	spoken []int     // connections that are taken in turn
}

const (
	linesEach   = 4
	probeEvery  = 100 * ms
	crossing    = 60 * ms // a request that was on its way when its connection was closed is asked again
	agains      = 2
	writeShare  = 0.12
	stampShare  = 0.08
	leaveWithin = 250 * ms
)

// line is a connection to a router.
type line struct {
	c      *clients
	router *router
	life   int
	conn   *transport.Conn
	in     transport.ReceiveBuffer
	taken  int64
	next   uint64
	open   []*asked
	up     bool // it has answered a probe
	gone   bool
	past   map[uint64]invariants.RequestID // requests that wait no more
}

// asked is a request that waits for its answer.
type asked struct {
	id     uint64
	visit  invariants.RequestID
	at     Micros
	until  Micros
	use    int
	object int
	tries  int
	over   bool
}

// heavyBody is near the most that a write may bring: it takes its connection's kernel several goes.
var heavyBody = strings.Repeat("w", 45_000)

// useCases of the deployment, with what clients wait.
var useCases = [...]struct {
	name     string
	effect   invariants.Effect
	patience [3]Micros
}{
	{"page", invariants.Idempotent, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
	{"order", invariants.NonIdempotent, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
	{"mark", invariants.Keyed, [3]Micros{2000 * ms, 1500 * ms, 900 * ms}},
}

func (c *clients) rise() {
	c.open = transport.NewWithRuntime(c.host.Start(), c.d.quiet)
	for range c.d.routers {
		c.lines, c.spoken = append(c.lines, nil), append(c.spoken, 0)
	}
	for _, r := range c.d.routers {
		c.arrive(r)
	}
	c.host.After(20*ms, c.beat)
}

func (c *clients) beat() {
	c.open.Do(func() { c.open.Tick(c.open.Now()) })
	c.host.After(20*ms, c.beat)
}

// call opens a connection to a router's present life and probes it until it says yes.
func (c *clients) call(r *router) {
	if len(c.lines[r.no]) >= linesEach || !r.takes {
		return
	}
	l := &line{c: c, router: r, life: r.life, past: map[uint64]invariants.RequestID{}}
	c.lines[r.no] = append(c.lines[r.no], l)
	c.open.Do(func() { l.conn = c.open.Dial(r.door, 1e9, l) })
	l.probe()
}

func (l *line) probe() {
	if l.gone || l.up {
		return
	}
	l.next++
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), l.next)
	b = msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr(b, "probe"), 1), 0)
	l.conn.Send(b)
	l.c.host.After(probeEvery, l.probe)
}

// arrive has the next visit of a router come, and the one after it.
func (c *clients) arrive(r *router) {
	rate := c.d.plan.RequestRate
	if c.crowd > 0 {
		rate *= c.times
	}
	c.host.After(Micros(-math.Log(1-c.chance.Float64())/rate*1e6)+1, func() {
		if c.d.world.Now() < c.d.plan.requestsEnd() {
			c.arrive(r)
		}
		if len(c.lines[r.no]) < linesEach {
			c.call(r)
		}
		a := &asked{object: c.pick()}
		writes, stamps := writeShare, stampShare
		if c.heavy > 0 {
			writes, stamps = 0.6, 0.4
		}
		switch x := c.chance.Float64(); {
		case x < writes:
			a.use = 1
		case x < writes+stamps:
			a.use = 2
		}
		c.visit(r, a)
	})
}

func (c *clients) pick() int {
	if c.hot > 0 && c.chance.IntN(2) == 0 {
		return c.object
	}
	// The most asked one in twenty times is well within what its cache can do.
	return min(int(float64(c.d.plan.Objects)*math.Pow(c.chance.Float64(), 1.4)), c.d.plan.Objects-1)
}

// visit asks a router over one of its connections, if there is one.
func (c *clients) visit(r *router, a *asked) {
	all := c.lines[r.no]
	for range all {
		c.spoken[r.no]++
		if l := all[c.spoken[r.no]%len(all)]; l.up && !l.gone && len(l.open) < 24 {
			l.ask(a)
			return
		}
	}
}

func (l *line) ask(a *asked) {
	c, d := l.c, l.c.d
	u := &useCases[a.use]
	c.marks++
	a.visit, a.at = invariants.RequestID(c.marks<<20|c.chance.Uint64()&0xfffff), d.world.Now()
	patience := u.patience[c.chance.IntN(3)]
	a.until = a.at + patience
	l.next++
	a.id = l.next
	l.open = append(l.open, a)
	fields := [...][2]string{{"trace", fmt.Sprintf("%016x", uint64(a.visit))}, {"entity", objectName(a.object)}, {"piece", "0"},
		{"lot", fmt.Sprint(d.groupOf(a.object))}, {"patience", fmt.Sprint(int(patience / ms))}, {"size", fmt.Sprint(sizeKB)}}
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), a.id)
	b = msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr(b, u.name), 2), len(fields))
	for _, f := range fields {
		b = msgpack.AppendStr(msgpack.AppendStr(b, f[0]), f[1])
	}
	text := ""
	if u.effect != invariants.Idempotent {
		if text = "a write"; c.heavy > 0 {
			text = heavyBody
		}
	}
	b = append(msgpack.AppendBinHead(b, len(text)), text...)
	d.observe(invariants.Event{Kind: invariants.RequestSent, Request: a.visit, Router: l.router.id(), Effect: u.effect, Deadline: a.until,
		Object: uint64(a.object), Group: d.groupOf(a.object)})
	l.conn.Send(b)
	if l.life != l.router.life || !l.router.host.Running() { // it is not taken: the connection leads to who is no more
		d.observe(invariants.Event{Kind: invariants.ConnectionFault, Request: a.visit})
	}
	c.host.After(patience+200*ms, func() { l.leaves(a) })
	if c.leave > 0 && c.chance.Float64() < c.share {
		c.host.After(Micros(c.chance.IntN(int(leaveWithin))), func() {
			if a.over {
				return
			}
			l.leaves(a)
			if again := *a; again.tries < agains && u.effect == invariants.Idempotent { // and asks again under a new mark
				again.tries++
				again.over = false
				c.visit(l.router, &again)
			}
		})
	}
}

// leaves stops waiting for an answer.
func (l *line) leaves(a *asked) {
	if a.over {
		return
	}
	l.drop(a)
	b := msgpack.AppendStr(msgpack.AppendUint(msgpack.AppendArray(nil, 3), 2), "giveUp")
	l.conn.Send(msgpack.AppendUint(msgpack.AppendArray(b, 1), a.id))
	if l.c.d.world.Now() < a.until {
		l.c.d.observe(invariants.Event{Kind: invariants.ClientLeft, Request: a.visit})
	}
}

func (l *line) drop(a *asked) {
	a.over = true
	l.past[a.id] = a.visit
	for i, o := range l.open {
		if o == a {
			l.open = append(l.open[:i], l.open[i+1:]...)
			return
		}
	}
}

func (l *line) Data(b []byte) error { return l.in.Decode(l.c.open, b, l) }

// Next reads the answer that b begins with.
func (l *line) Next(b []byte) (int, error) {
	size, err := msgpack.Size(b, 1<<20)
	if errors.Is(err, msgpack.ErrShort) {
		return 0, nil
	}
	if err != nil {
		l.c.d.problem("a client read what is no answer: %v", err)
		return 0, err
	}
	// Its last byte counts: the answer is whole with that.
	at := network.WrittenAt(l.conn.Socket(), l.taken+int64(size)-1)
	l.taken += int64(size)
	return size, l.answer(b[:size], at)
}

func (l *line) answer(b []byte, at Micros) error {
	d := l.c.d
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
			if r.Truth() && !l.up {
				l.up = true
				l.router.ready()
			}
			return nil
		}
	}
	for _, a := range l.open {
		if a.id != id {
			continue
		}
		l.drop(a)
		d.observe(invariants.Event{Kind: invariants.ResponseReceived, Request: a.visit, Router: l.router.id(), Outcome: word, SentAt: at})
		if a.tries < agains && (word == invariants.Rejected || word == invariants.Failed && useCases[a.use].effect == invariants.Idempotent) {
			again := *a
			again.tries++
			again.over = false
			l.c.host.After(Micros(100+l.c.chance.IntN(400))*ms, func() { l.c.visit(l.router, &again) })
		}
		return nil
	}
	visit, ok := l.past[id] // it crossed a giving up, or is one too many
	if !ok {
		d.problem("an answer to a request that was not made")
	}
	d.observe(invariants.Event{Kind: invariants.ResponseReceived, Request: visit, Router: l.router.id(), Outcome: word, SentAt: at})
	return nil
}

// Closed hears that the connection ended: by the router, or by what ended the router or the way.
func (l *line) Closed(err error) {
	d := l.c.d
	l.gone = true
	all := l.c.lines[l.router.no]
	for i, o := range all {
		if o == l {
			l.c.lines[l.router.no] = append(all[:i], all[i+1:]...)
			break
		}
	}
	died := l.router.life != l.life || !l.router.host.Running() || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) || !l.up
	open := l.open
	l.open = nil
	for _, a := range open {
		a.over = true
		what := invariants.ConnectionDropped
		if died || d.world.Now()-a.at < crossing {
			what = invariants.ConnectionFault
		}
		d.observe(invariants.Event{Kind: what, Request: a.visit})
	}
}
