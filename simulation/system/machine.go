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
	d     *Simulation
	name  string // on the list
	slot  string // in scripts: it stays when another takes the place
	kind  string
	id    invariants.MachineID
	host  *network.Host
	at    netip.AddrPort
	rate  float64 // works a second, warm
	most  int     // copies kept
	open  *transport.Engine
	kept  map[string]*copied
	fills map[string]*fill
	busy  Micros
	boot  Micros // 0: long ago
	alive bool
	taken bool // by a fault that ends its process
	life  int
	calls []*guest
	// conditions
	slow, refuses, fails, halves, finishes nested
	factor                                 float64
}

// nested counts conditions that overlap.
type nested int

type copied struct {
	key    string
	object int
	made   Micros
	used   Micros
	rank   int
	tag    string
}

type fill struct{ wait []func(*copied, string) }

const (
	thinking   = 2 * ms
	queueMost  = 500 * ms // of work that waits; beyond it a machine turns away
	fillMost   = 1500 * ms
	headOf     = 24 // bytes of an answer that come where the rest does not
	objectBody = 2000
)

// rise starts the machine's process, with nothing kept.
func (m *machine) rise(cold bool) {
	w := m.d.world
	m.kept, m.fills, m.busy, m.alive, m.boot = map[string]*copied{}, map[string]*fill{}, 0, true, 0
	m.life++
	m.open = transport.NewWithRuntime(m.host.Start(), m.d.quiet)
	m.open.SetMaxAccepted(4096)
	_ = m.open.Listen(m.at.String(), func(c *transport.Conn) transport.Handler {
		g := &guest{m: m, conn: c}
		m.calls = append(m.calls, g)
		return g
	})
	if cold {
		m.boot = w.Now()
		m.d.observe(invariants.Event{Kind: invariants.MachineStarted, Machine: m.id})
	}
}

// die ends the process.
func (m *machine) die() {
	if m.alive {
		stopped := m.host.Paused()
		m.alive = false
		m.life++
		m.host.Kill()
		calls := m.calls
		m.calls = nil
		for _, g := range calls { // nothing of it runs any more; what was given up while it got no turn it has not heard
			at := network.ClosedAt(g.conn.Socket())
			if at == 0 {
				at = m.d.world.Now()
			}
			for len(g.open) > 0 {
				e := g.open[0]
				if stopped {
					at = e.came
				}
				e.end(invariants.Unanswered, 0, at)
			}
		}
	}
}

// line is the machine's line on the list.
func (m *machine) line(state string) string {
	zone := "branch"
	if m.kind != "cache" {
		zone = "hub"
	}
	boot := int64(0)
	if m.boot > 0 {
		boot = unix(m.boot)
	}
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":%d}`, m.name, m.at,
		zone, m.kind, state, boot)
}

// work takes one work in, if there is room; it gives when it is done.
func (m *machine) work(share float64) (Micros, bool) {
	now := m.d.world.Now()
	rate := m.rate
	if m.boot > 0 {
		if age := float64(now-m.boot) / float64(coldRamp); age < 1 {
			rate *= coldLeast + (1-coldLeast)*age
		}
	}
	if m.slow > 0 {
		rate /= m.factor
	}
	m.busy = max(m.busy, now)
	if m.busy-now > queueMost {
		return 0, false
	}
	m.busy += Micros(share / rate * 1e6)
	return m.busy + thinking, true
}

// guest is a router's connection to a machine.
type guest struct {
	m     *machine
	conn  *transport.Conn
	in    transport.ReceiveBuffer
	taken int64 // bytes read
	words [4][]byte
	open  []*errand
}

// errand is a request that is open.
type errand struct {
	g      *guest
	id     string
	trip   invariants.AttemptID
	visit  invariants.RequestID
	router invariants.RouterID
	object int
	key    string
	src    string
	rank   int
	oldest Micros
	share  bool
	peek   bool
	have   string
	body   bool
	came   Micros
	over   bool
	ran    bool
}

func (g *guest) Data(b []byte) error { return g.in.Decode(g.m.open, b, g) }

func (g *guest) Next(b []byte) (int, error) {
	n, size, err := resp.Parse(b, g.words[:], 1<<20)
	if errors.Is(err, resp.ErrShort) {
		return 0, nil
	}
	if err != nil {
		g.m.d.problem("a machine read what is no request: %v", err)
		return 0, err
	}
	at := network.WrittenAt(g.conn.Socket(), g.taken)
	g.taken += int64(size)
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
		g.get(at)
	default:
		g.m.d.problem("a machine was asked %q", word)
	}
	return size, nil
}

// Closed gives up all that is open.
func (g *guest) Closed(error) {
	at := network.ClosedAt(g.conn.Socket())
	if at == 0 {
		at = g.m.d.world.Now()
	}
	for len(g.open) > 0 {
		g.open[0].end(invariants.Unanswered, 0, at)
	}
	for i, o := range g.m.calls {
		if o == g {
			g.m.calls = append(g.m.calls[:i], g.m.calls[i+1:]...)
			break
		}
	}
	g.in.Release(g.m.open)
}

func (g *guest) get(at Micros) {
	d := g.m.d
	e := &errand{g: g, id: string(g.words[1]), router: d.routerAt(g.conn.String()), body: len(g.words[3]) > 0}
	name, part, budget := "", "", Micros(0)
	for _, pair := range bytes.Split(g.words[2], []byte(",")) {
		k, v, _ := strings.Cut(string(pair), "=")
		switch k {
		case "path":
			name = v
		case "blk":
			part = v
		case "src":
			e.src = v
		case "budget":
			budget = millis(v)
		case "keep":
			e.rank, _ = strconv.Atoi(v)
		case "maxage":
			e.oldest = millis(v)
		case "have":
			e.have = v
		case "flags":
			for _, f := range strings.Split(v, "+") {
				e.share, e.peek = e.share || f == "share", e.peek || f == "peek"
			}
		}
	}
	e.object, e.key = objectOf(name), name+"/"+part
	if e.oldest == 0 {
		e.oldest = fresh
	}
	visit, err := strconv.ParseUint(e.id, 16, 64)
	if err != nil {
		d.problem("a request under %q", e.id)
	}
	d.lastAttempt++
	e.came = d.world.Now()
	e.trip, e.visit = d.lastAttempt, invariants.RequestID(visit)
	source := invariants.NoMachine
	if s := d.machineListed(e.src); s != nil {
		source = s.id
	}
	g.open = append(g.open, e)
	d.observe(invariants.Event{Kind: invariants.AttemptReceived, Request: e.visit, Router: e.router, Machine: g.m.id, Source: source, Attempt: e.trip, SentAt: at, Timeout: budget})
	g.m.take(e)
}

func millis(s string) Micros {
	n, _ := strconv.ParseInt(s, 10, 64)
	return Micros(n) * ms
}

// end ends what is open, at a time that may be past.
func (e *errand) end(w invariants.Outcome, made, at Micros) {
	if e.over {
		return
	}
	e.over = true
	for i, o := range e.g.open {
		if o == e {
			e.g.open = append(e.g.open[:i], e.g.open[i+1:]...)
			break
		}
	}
	e.g.m.d.observe(invariants.Event{Kind: invariants.AttemptEnded, Attempt: e.trip, Outcome: w, EffectiveAt: made, SentAt: at})
}

// answer writes an answer, as far as the machine is in the mood to.
func (g *guest) answer(word, id, fields, body string, e *errand) {
	b := resp.AppendArray(nil, 4)
	for _, w := range [...]string{id, word, fields, body} {
		b = resp.AppendWord(b, w)
	}
	if e != nil && g.m.halves > 0 && len(b) > headOf {
		b = b[:headOf]
	}
	g.conn.Send(b)
	if g.m.finishes > 0 && e != nil {
		network.CloseWrite(g.conn.Socket())
	}
}

// say answers a request, if that is open still.
func (e *errand) say(word, fields, body string, made Micros) {
	if e.over {
		return
	}
	d := e.g.m.d
	if e.g.m.halves > 0 { // its end is not written
		e.g.answer(word, e.id, fields, body, e)
		return
	}
	how := invariants.MayHaveRun
	switch word {
	case "data", "unchanged":
		how = invariants.Succeeded
	case "absent", "full":
		how = invariants.NotRun
	}
	e.g.answer(word, e.id, fields, body, e)
	e.end(how, made, d.world.Now())
}

// take does what a request asks.
func (m *machine) take(e *errand) {
	d := m.d
	if m.refuses > 0 {
		m.host.After(thinking, func() { e.say("full", "-", "", 0) })
		return
	}
	if m.fails > 0 {
		m.host.After(thinking, func() {
			if e.body && d.world.Random.IntN(2) == 0 {
				m.run(e)
			}
			e.say("failed", "-", "", 0)
		})
		return
	}
	done, ok := m.work(1)
	if !ok {
		m.host.After(thinking, func() { e.say("full", "-", "", 0) })
		return
	}
	m.host.After(done-d.world.Now(), func() {
		if !e.over {
			m.serve(e)
		}
	})
}

func (m *machine) run(e *errand) {
	if !e.ran {
		e.ran = true
		m.d.observe(invariants.Event{Kind: invariants.Executed, Request: e.visit, Attempt: e.trip, Machine: m.id})
	}
}

// serve answers from what is kept, or by a fill.
func (m *machine) serve(e *errand) {
	d, now := m.d, m.d.world.Now()
	if e.body {
		src := d.machineListed(e.src)
		if m.kind == "origin" || src == nil {
			m.run(e)
			e.say("data", "detail=filled", "done", 0)
			return
		}
		m.ask(src, func() {
			src.run(e) // a write that is on its way runs, be it given up meanwhile
		}, func(ok bool) {
			if ok {
				e.say("data", "detail=filled", "done", 0)
			} else {
				e.say("failed", "detail=src_broke", "", 0)
			}
		})
		return
	}
	if x := m.good(e.key, e.oldest, now); x != nil {
		x.used = now
		note := "hit"
		if now-x.made > fresh {
			note = "stale"
		}
		m.give(e, x, note)
		return
	}
	if m.kind == "origin" {
		m.give(e, m.make(e), "hit")
		return
	}
	src := d.machineListed(e.src)
	if src == nil {
		e.say("absent", "-", "", 0)
		return
	}
	m.fill(e, src)
}

func (m *machine) make(e *errand) *copied {
	now := m.d.world.Now()
	return &copied{key: e.key, object: e.object, made: now, used: now, tag: fmt.Sprintf("%016x", uint64(now)*2654435761+uint64(len(e.key)))}
}

// good finds a copy that is not too old.
func (m *machine) good(key string, oldest, now Micros) *copied {
	if x := m.kept[key]; x != nil && now-x.made <= oldest && !m.d.purged(x, m) {
		return x
	}
	return nil
}

func (m *machine) give(e *errand, x *copied, note string) {
	fields := fmt.Sprintf("etag=%s,made=%d,detail=%s", x.tag, unix(x.made), note)
	if e.have == x.tag {
		e.say("unchanged", fields, "", x.made)
		return
	}
	e.say("data", fields, body, x.made)
}

var body = strings.Repeat("b", objectBody)

// fill has a copy fetched, by one fill for all that may join.
func (m *machine) fill(e *errand, src *machine) {
	d := m.d
	then := func(x *copied, note string) {
		switch {
		case x == nil && note == "src_lacks":
			e.say("absent", "detail=src_lacks", "", 0)
		case x == nil:
			e.say("failed", "detail="+note, "", 0)
		case d.world.Now()-x.made > e.oldest && !e.over: // joined a fill of before
			m.fill(e, src)
		default:
			m.give(e, x, note)
		}
	}
	if f := m.fills[e.key]; f != nil && e.share {
		f.wait = append(f.wait, then)
		return
	}
	f := &fill{}
	m.fills[e.key] = f
	var got *copied
	note := "src_broke"
	end := func(x *copied, note string) {
		if m.fills[e.key] == f {
			delete(m.fills, e.key)
		}
		if x != nil && e.rank > 0 {
			m.keep(x, e.rank)
		}
		then(x, note)
		if x != nil {
			note = "joined"
		}
		for _, w := range f.wait {
			w(x, note)
		}
	}
	d.observe(invariants.Event{Kind: invariants.FillReceived, Machine: src.id, Router: e.router})
	m.ask(src, func() {
		got, note = src.supply(e)
	}, func(ok bool) {
		if !ok {
			end(nil, note)
			return
		}
		if got == nil && note == "" { // behind it stands the origin
			m.fetch(src, e, end)
			return
		}
		end(got, note)
	})
}

// fetch has a parent ask the origin.
func (m *machine) fetch(src *machine, e *errand, end func(*copied, string)) {
	var got *copied
	origin := m.d.origin
	src.ask(origin, func() { got = origin.make(e) }, func(ok bool) {
		if ok && got != nil {
			x := *got
			src.keep(&x, 1)
			m.host.After(2*ms, func() { x := *got; end(&x, "via_origin") })
			return
		}
		m.host.After(2*ms, func() { end(nil, "origin_failed") })
	})
}

// supply is what a source has for a fill: a copy, or why it has none; neither: it is to ask the origin.
func (m *machine) supply(e *errand) (*copied, string) {
	if m.kind == "origin" {
		return m.make(e), "via_origin"
	}
	if x := m.good(e.key, e.oldest, m.d.world.Now()); x != nil {
		x.used = m.d.world.Now()
		y := *x
		return &y, "filled"
	}
	if e.peek || m.kind == "cache" {
		return nil, "src_lacks"
	}
	return nil, ""
}

// ask has another machine do some work, and tells this one whether it came about. One that is out of reach says nothing.
func (m *machine) ask(src *machine, do func(), then func(ok bool)) {
	w := m.d.world
	over, mine := false, m.life
	reply := func(ok bool) {
		if !over && m.life == mine {
			over = true
			then(ok)
		}
	}
	m.host.After(fillMost, func() { reply(false) })
	if !m.d.reachable(m, src) {
		return
	}
	life := src.host.Incarnation()
	w.At(w.Now()+5*ms, func() {
		if !src.alive {
			m.host.After(5*ms, func() { reply(false) })
			return
		}
		src.host.After(0, func() {
			if src.refuses > 0 || src.fails > 0 {
				m.host.After(5*ms, func() { reply(false) })
				return
			}
			done, ok := src.work(0.5)
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

// keep keeps a copy; where there is no room the one of least rank, used longest ago, goes.
func (m *machine) keep(x *copied, rank int) {
	if !m.alive || m.d.purged(x, m) {
		return
	}
	if o := m.kept[x.key]; o != nil && o.made > x.made {
		return
	}
	y := *x
	y.rank, y.used = rank, m.d.world.Now()
	m.kept[x.key] = &y
	if len(m.kept) <= m.most {
		return
	}
	var worst *copied
	for _, o := range m.kept {
		if worst == nil || o.rank < worst.rank || o.rank == worst.rank && (o.used < worst.used || o.used == worst.used && o.key < worst.key) {
			worst = o
		}
	}
	delete(m.kept, worst.key)
}
