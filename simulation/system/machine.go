package system

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"threadrun/internal/resp"
	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

// machine is a cache, a parent or the origin, as the public protocol page describes them.
type machine struct {
	d           *Simulation
	name        string // on the list
	slot        string // in scripts: it stays when another takes the place
	kind        string
	id          invariants.MachineID
	host        *network.Host
	address     netip.AddrPort
	rate        float64 // works a second, warm
	maxCopies   int     // copies kept
	engine      *transport.Engine
	copies      map[string]*cachedCopy
	fills       map[string]*fill
	busyUntil   Micros
	bootedAt    Micros // 0: long ago
	running     bool
	restarting  bool // by a fault that ends its process
	incarnation int
	connections []*machineConn
	// conditions
	slow, rejecting, failing, truncating, halfClosing overlaps
	slowFactor                                        float64
}

// overlaps counts conditions that overlap.
type overlaps int

type cachedCopy struct {
	key    string
	object int
	madeAt Micros
	usedAt Micros
	rank   int
	etag   string
}

type fill struct{ waiting []func(*cachedCopy, string) }

const (
	serviceTime = 2 * ms
	maxQueue    = 500 * ms // of work that waits; beyond it a machine turns away
	fillTimeout = 1500 * ms
	headBytes   = 24 // bytes of an answer that come where the rest does not
	objectBytes = 2000
)

// start starts the machine's process, with nothing kept.
func (m *machine) start(cold bool) {
	w := m.d.world
	m.copies, m.fills, m.busyUntil, m.running, m.bootedAt = map[string]*cachedCopy{}, map[string]*fill{}, 0, true, 0
	m.incarnation++
	m.engine = transport.NewWithRuntime(m.host.Start(), m.d.quiet)
	m.engine.SetMaxAccepted(4096)
	_ = m.engine.Listen(m.address.String(), func(c *transport.Conn) transport.Handler {
		g := &machineConn{machine: m, conn: c}
		m.connections = append(m.connections, g)
		return g
	})
	if cold {
		m.bootedAt = w.Now()
		m.d.observe(invariants.Event{Kind: invariants.MachineStarted, Machine: m.id})
	}
}

// stop ends the process.
func (m *machine) stop() {
	if m.running {
		stopped := m.host.Paused()
		m.running = false
		m.incarnation++
		m.host.Kill()
		calls := m.connections
		m.connections = nil
		for _, g := range calls { // nothing of it runs any more; what was given up while it got no turn it has not heard
			at := network.ClosedAt(g.conn.Socket())
			if at == 0 {
				at = m.d.world.Now()
			}
			for len(g.open) > 0 {
				e := g.open[0]
				if stopped {
					at = e.receivedAt
				}
				e.end(invariants.Unanswered, 0, at)
			}
		}
	}
}

// endpoint is the machine's line on the list.
func (m *machine) endpoint(state string) string {
	zone := "branch"
	if m.kind != "cache" {
		zone = "hub"
	}
	boot := int64(0)
	if m.bootedAt > 0 {
		boot = unixMillis(m.bootedAt)
	}
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":%d}`, m.name, m.address,
		zone, m.kind, state, boot)
}

// queueWork takes one work in, if there is room; it gives when it is done.
func (m *machine) queueWork(share float64) (Micros, bool) {
	now := m.d.world.Now()
	rate := m.rate
	if m.bootedAt > 0 {
		if age := float64(now-m.bootedAt) / float64(coldWarmUp); age < 1 {
			rate *= coldInitialShare + (1-coldInitialShare)*age
		}
	}
	if m.slow > 0 {
		rate /= m.slowFactor
	}
	m.busyUntil = max(m.busyUntil, now)
	if m.busyUntil-now > maxQueue {
		return 0, false
	}
	m.busyUntil += Micros(share / rate * 1e6)
	return m.busyUntil + serviceTime, true
}

// machineConn is a router's connection to a machine.
type machineConn struct {
	machine   *machine
	conn      *transport.Conn
	input     transport.ReceiveBuffer
	bytesRead int64 // bytes read
	words     [4][]byte
	open      []*attempt
}

// attempt is a request that is open.
type attempt struct {
	conn         *machineConn
	id           string
	attemptID    invariants.AttemptID
	request      invariants.RequestID
	router       invariants.RouterID
	object       int
	objectKey    string
	source       string
	rank         int
	maxAge       Micros
	canJoin      bool
	onlyIfCached bool
	knownETag    string
	isWrite      bool
	receivedAt   Micros
	ended        bool
	executed     bool
}

func (g *machineConn) Data(b []byte) error { return g.input.Decode(g.machine.engine, b, g) }

func (g *machineConn) Next(b []byte) (int, error) {
	n, size, err := resp.Parse(b, g.words[:], 1<<20)
	if errors.Is(err, resp.ErrShort) {
		return 0, nil
	}
	if err != nil {
		g.machine.d.problem("a machine read what is no request: %v", err)
		return 0, err
	}
	at := network.WrittenAt(g.conn.Socket(), g.bytesRead)
	g.bytesRead += int64(size)
	switch word := string(g.words[0]); {
	case word == "PING" && n == 2:
		g.answer("well", string(g.words[1]), "-", "", nil)
	case word == "DROP" && n == 2:
		for _, e := range g.open {
			if e.id == string(g.words[1]) {
				e.end(invariants.Unanswered, 0, at)
				break
			}
		}
	case word == "GET" && n == 4:
		g.receiveAttempt(at)
	default:
		g.machine.d.problem("a machine was asked %q", word)
	}
	return size, nil
}

// Closed gives up all that is open.
func (g *machineConn) Closed(error) {
	at := network.ClosedAt(g.conn.Socket())
	if at == 0 {
		at = g.machine.d.world.Now()
	}
	for len(g.open) > 0 {
		g.open[0].end(invariants.Unanswered, 0, at)
	}
	for i, o := range g.machine.connections {
		if o == g {
			g.machine.connections = append(g.machine.connections[:i], g.machine.connections[i+1:]...)
			break
		}
	}
	g.input.Release(g.machine.engine)
}

func (g *machineConn) receiveAttempt(at Micros) {
	d := g.machine.d
	e := &attempt{conn: g, id: string(g.words[1]), router: d.routerAt(g.conn.String()), isWrite: len(g.words[3]) > 0}
	name, part, budget := "", "", Micros(0)
	for _, pair := range bytes.Split(g.words[2], []byte(",")) {
		k, v, _ := strings.Cut(string(pair), "=")
		switch k {
		case "path":
			name = v
		case "blk":
			part = v
		case "src":
			e.source = v
		case "budget":
			budget = parseMillis(v)
		case "keep":
			e.rank, _ = strconv.Atoi(v)
		case "maxage":
			e.maxAge = parseMillis(v)
		case "have":
			e.knownETag = v
		case "flags":
			for _, f := range strings.Split(v, "+") {
				e.canJoin, e.onlyIfCached = e.canJoin || f == "share", e.onlyIfCached || f == "peek"
			}
		}
	}
	e.object, e.objectKey = objectNumber(name), name+"/"+part
	if e.maxAge == 0 {
		e.maxAge = freshFor
	}
	visit, err := strconv.ParseUint(e.id, 16, 64)
	if err != nil {
		d.problem("a request under %q", e.id)
	}
	d.lastAttempt++
	e.receivedAt = d.world.Now()
	e.attemptID, e.request = d.lastAttempt, invariants.RequestID(visit)
	source := invariants.NoMachine
	if s := d.machineListed(e.source); s != nil {
		source = s.id
	}
	g.open = append(g.open, e)
	d.observe(invariants.Event{Kind: invariants.AttemptReceived, Request: e.request, Router: e.router, Machine: g.machine.id, Source: source, Attempt: e.attemptID, SentAt: at, Timeout: budget})
	g.machine.admit(e)
}

func parseMillis(s string) Micros {
	n, _ := strconv.ParseInt(s, 10, 64)
	return Micros(n) * ms
}

// end ends what is open, at a time that may be past.
func (e *attempt) end(w invariants.Outcome, made, at Micros) {
	if e.ended {
		return
	}
	e.ended = true
	for i, o := range e.conn.open {
		if o == e {
			e.conn.open = append(e.conn.open[:i], e.conn.open[i+1:]...)
			break
		}
	}
	e.conn.machine.d.observe(invariants.Event{Kind: invariants.AttemptEnded, Attempt: e.attemptID, Outcome: w, EffectiveAt: made, SentAt: at})
}

// answer writes an answer, as far as the machine is in the mood to.
func (g *machineConn) answer(word, id, fields, body string, e *attempt) {
	b := resp.AppendArray(nil, 4)
	for _, w := range [...]string{id, word, fields, body} {
		b = resp.AppendWord(b, w)
	}
	if e != nil && g.machine.truncating > 0 && len(b) > headBytes {
		b = b[:headBytes]
	}
	g.conn.Send(b)
	if g.machine.halfClosing > 0 && e != nil {
		network.CloseWrite(g.conn.Socket())
	}
}

// respond answers a request, if that is open still.
func (e *attempt) respond(word, fields, body string, made Micros) {
	if e.ended {
		return
	}
	d := e.conn.machine.d
	if e.conn.machine.truncating > 0 { // its end is not written
		e.conn.answer(word, e.id, fields, body, e)
		return
	}
	how := invariants.MayHaveRun
	switch word {
	case "data", "unchanged":
		how = invariants.Succeeded
	case "absent", "full":
		how = invariants.NotRun
	}
	e.conn.answer(word, e.id, fields, body, e)
	e.end(how, made, d.world.Now())
}

// admit does what a request asks.
func (m *machine) admit(e *attempt) {
	d := m.d
	if m.rejecting > 0 {
		m.host.After(serviceTime, func() { e.respond("full", "-", "", 0) })
		return
	}
	if m.failing > 0 {
		m.host.After(serviceTime, func() {
			if e.isWrite && d.world.Random.IntN(2) == 0 {
				m.execute(e)
			}
			e.respond("failed", "-", "", 0)
		})
		return
	}
	done, ok := m.queueWork(1)
	if !ok {
		m.host.After(serviceTime, func() { e.respond("full", "-", "", 0) })
		return
	}
	m.host.After(done-d.world.Now(), func() {
		if !e.ended {
			m.serve(e)
		}
	})
}

func (m *machine) execute(e *attempt) {
	if !e.executed {
		e.executed = true
		m.d.observe(invariants.Event{Kind: invariants.Executed, Request: e.request, Attempt: e.attemptID, Machine: m.id})
	}
}

// serve answers from what is kept, or by a fill.
func (m *machine) serve(e *attempt) {
	d, now := m.d, m.d.world.Now()
	if e.isWrite {
		src := d.machineListed(e.source)
		if m.kind == "origin" || src == nil {
			m.execute(e)
			e.respond("data", "detail=filled", "done", 0)
			return
		}
		m.call(src, func() {
			src.execute(e) // a write that is on its way runs, be it given up meanwhile
		}, func(ok bool) {
			if ok {
				e.respond("data", "detail=filled", "done", 0)
			} else {
				e.respond("failed", "detail=src_broke", "", 0)
			}
		})
		return
	}
	if x := m.freshCopy(e.objectKey, e.maxAge, now); x != nil {
		x.usedAt = now
		note := "hit"
		if now-x.madeAt > freshFor {
			note = "stale"
		}
		m.sendCopy(e, x, note)
		return
	}
	if m.kind == "origin" {
		m.sendCopy(e, m.makeCopy(e), "hit")
		return
	}
	src := d.machineListed(e.source)
	if src == nil {
		e.respond("absent", "-", "", 0)
		return
	}
	m.fill(e, src)
}

func (m *machine) makeCopy(e *attempt) *cachedCopy {
	now := m.d.world.Now()
	return &cachedCopy{key: e.objectKey, object: e.object, madeAt: now, usedAt: now, etag: fmt.Sprintf("%016x", uint64(now)*2654435761+uint64(len(e.objectKey)))}
}

// freshCopy finds a copy that is not too old.
func (m *machine) freshCopy(key string, oldest, now Micros) *cachedCopy {
	if x := m.copies[key]; x != nil && now-x.madeAt <= oldest && !m.d.isPurged(x, m) {
		return x
	}
	return nil
}

func (m *machine) sendCopy(e *attempt, x *cachedCopy, note string) {
	fields := fmt.Sprintf("etag=%s,made=%d,detail=%s", x.etag, unixMillis(x.madeAt), note)
	if e.knownETag == x.etag {
		e.respond("unchanged", fields, "", x.madeAt)
		return
	}
	e.respond("data", fields, objectBody, x.madeAt)
}

var objectBody = strings.Repeat("b", objectBytes)

// fill has a copy fetched, by one fill for all that may join.
func (m *machine) fill(e *attempt, src *machine) {
	d := m.d
	then := func(x *cachedCopy, note string) {
		switch {
		case x == nil && note == "src_lacks":
			e.respond("absent", "detail=src_lacks", "", 0)
		case x == nil:
			e.respond("failed", "detail="+note, "", 0)
		case d.world.Now()-x.madeAt > e.maxAge && !e.ended: // joined a fill of before
			m.fill(e, src)
		default:
			m.sendCopy(e, x, note)
		}
	}
	if f := m.fills[e.objectKey]; f != nil && e.canJoin {
		f.waiting = append(f.waiting, then)
		return
	}
	f := &fill{}
	m.fills[e.objectKey] = f
	var got *cachedCopy
	note := "src_broke"
	end := func(x *cachedCopy, note string) {
		if m.fills[e.objectKey] == f {
			delete(m.fills, e.objectKey)
		}
		if x != nil && e.rank > 0 {
			m.store(x, e.rank)
		}
		then(x, note)
		if x != nil {
			note = "joined"
		}
		for _, w := range f.waiting {
			w(x, note)
		}
	}
	d.observe(invariants.Event{Kind: invariants.FillReceived, Machine: src.id, Router: e.router})
	m.call(src, func() {
		got, note = src.supply(e)
	}, func(ok bool) {
		if !ok {
			end(nil, note)
			return
		}
		if got == nil && note == "" { // behind it stands the origin
			m.fetchFromOrigin(src, e, end)
			return
		}
		end(got, note)
	})
}

// fetchFromOrigin has a parent ask the origin.
func (m *machine) fetchFromOrigin(src *machine, e *attempt, end func(*cachedCopy, string)) {
	var got *cachedCopy
	origin := m.d.origin
	src.call(origin, func() { got = origin.makeCopy(e) }, func(ok bool) {
		if ok && got != nil {
			x := *got
			src.store(&x, 1)
			m.host.After(2*ms, func() { x := *got; end(&x, "via_origin") })
			return
		}
		m.host.After(2*ms, func() { end(nil, "origin_failed") })
	})
}

// supply is what a source has for a fill: a copy, or why it has none; neither: it is to ask the origin.
func (m *machine) supply(e *attempt) (*cachedCopy, string) {
	if m.kind == "origin" {
		return m.makeCopy(e), "via_origin"
	}
	if x := m.freshCopy(e.objectKey, e.maxAge, m.d.world.Now()); x != nil {
		x.usedAt = m.d.world.Now()
		y := *x
		return &y, "filled"
	}
	if e.onlyIfCached || m.kind == "cache" {
		return nil, "src_lacks"
	}
	return nil, ""
}

// call has another machine do some work, and tells this one whether it came about. One that is out of reach says nothing.
func (m *machine) call(src *machine, do func(), then func(ok bool)) {
	w := m.d.world
	over, mine := false, m.incarnation
	reply := func(ok bool) {
		if !over && m.incarnation == mine {
			over = true
			then(ok)
		}
	}
	m.host.After(fillTimeout, func() { reply(false) })
	if !m.d.reachable(m, src) {
		return
	}
	life := src.host.Incarnation()
	w.At(w.Now()+5*ms, func() {
		if !src.running {
			m.host.After(5*ms, func() { reply(false) })
			return
		}
		src.host.After(0, func() {
			if src.rejecting > 0 || src.failing > 0 {
				m.host.After(5*ms, func() { reply(false) })
				return
			}
			done, ok := src.queueWork(0.5)
			if !ok {
				m.host.After(5*ms, func() { reply(false) })
				return
			}
			src.host.After(done-w.Now(), func() {
				do()
				if m.d.reachable(src, m) && src.host.Incarnation() == life {
					m.host.After(5*ms, func() { reply(true) })
				}
			})
		})
	})
}

// store keeps a copy; where there is no room the one of least rank, used longest ago, goes.
func (m *machine) store(x *cachedCopy, rank int) {
	if !m.running || m.d.isPurged(x, m) {
		return
	}
	if o := m.copies[x.key]; o != nil && o.madeAt > x.madeAt {
		return
	}
	y := *x
	y.rank, y.usedAt = rank, m.d.world.Now()
	m.copies[x.key] = &y
	if len(m.copies) <= m.maxCopies {
		return
	}
	var worst *cachedCopy
	for _, o := range m.copies {
		if worst == nil || o.rank < worst.rank || o.rank == worst.rank && (o.usedAt < worst.usedAt || o.usedAt == worst.usedAt && o.key < worst.key) {
			worst = o
		}
	}
	delete(m.copies, worst.key)
}
