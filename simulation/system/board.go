package system

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

// discovery is the bulletin.
type discovery struct {
	d            *Simulation
	host         *network.Host
	engine       *transport.Engine
	events       []string
	connections  []*discoveryConn
	delayedUntil Micros   // news reaches it no sooner
	delayed      []func() // news until then
	fragments    overlaps
}

// discoveryConn is a router's connection.
type discoveryConn struct {
	discovery *discovery
	conn      *transport.Conn
	in        []byte
	waits     bool
	after     int
	router    invariants.RouterID
	gone      bool
	no        int
}

const discoveryPort = 8000

func (b *discovery) start() {
	b.engine = transport.NewWithRuntime(b.host.Start(), b.d.quiet)
	b.engine.SetMaxAccepted(4096)
	_ = b.engine.Listen(fmt.Sprintf("%s:%d", b.host.Addr, discoveryPort), func(c *transport.Conn) transport.Handler {
		p := &discoveryConn{discovery: b, conn: c, router: b.d.routerAt(c.String())}
		b.connections = append(b.connections, p)
		return p
	})
}

// post adds an event, or keeps it until the bulletin gets it: what it does not have it has not told.
func (b *discovery) post(text string, e invariants.Event) {
	if len(b.delayed) > 0 || b.unreachable() {
		if b.delayed = append(b.delayed, func() { b.publish(text, e) }); len(b.delayed) == 1 {
			b.d.world.At(b.d.world.Now()+50*ms, b.flushDelayed)
		}
		return
	}
	b.publish(text, e)
}

func (b *discovery) unreachable() bool {
	return b.d.world.Now() < b.delayedUntil || b.host.Partitioned()
}

func (b *discovery) flushDelayed() {
	if b.unreachable() {
		b.d.world.At(b.d.world.Now()+50*ms, b.flushDelayed)
		return
	}
	held := b.delayed
	b.delayed = nil
	for _, f := range held {
		f()
	}
}

func (b *discovery) publish(text string, e invariants.Event) {
	e.Number = len(b.events) + 1
	b.events = append(b.events, fmt.Sprintf(`{"no":%d,%s}`, e.Number, text))
	b.d.observe(e)
	b.answerWatches()
}

// postEndpoints adds changes of the list. Each is an event of its own for the rules: they share the number of the last.
func (b *discovery) postEndpoints(all bool, lines []string, about []invariants.Event) {
	text := fmt.Sprintf(`"roster":{"rev":%d,"all":%v,"targets":[%s]}`, len(b.events)+1, all, strings.Join(lines, ","))
	for _, e := range about[:len(about)-1] { // one number is one event: the others get empty ones before
		b.post(`"roster":{"rev":0,"all":false,"targets":[]}`, e)
	}
	b.post(text, about[len(about)-1])
}

// answerWatches tells those that wait.
func (b *discovery) answerWatches() {
	for _, p := range b.connections {
		if p.waits && p.after < len(b.events) {
			p.tell()
		}
	}
}

func (b *discovery) eventsAfter(after int) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(b.events), strings.Join(b.events[min(after, len(b.events)):], ","))
}

func (p *discoveryConn) Data(in []byte) error {
	p.in = append(p.in, in...)
	end := bytes.Index(p.in, []byte("\r\n\r\n"))
	if end < 0 {
		return nil
	}
	first, _, _ := strings.Cut(string(p.in[:end]), "\r\n")
	p.in = append([]byte(nil), p.in[end+4:]...)
	_, query, _ := strings.Cut(first, "?")
	query, _, _ = strings.Cut(query, " ")
	patience := Micros(0)
	for _, pair := range strings.Split(query, "&") {
		k, v, _ := strings.Cut(pair, "=")
		switch k {
		case "after":
			p.after, _ = strconv.Atoi(v)
		case "patience":
			patience = parseMillis(v)
		}
	}
	p.discovery.d.notified(p.router, p.after)
	p.waits = true
	p.no++
	if p.after < len(p.discovery.events) {
		p.tell()
		return nil
	}
	no := p.no
	p.discovery.host.After(patience, func() {
		if p.waits && p.no == no {
			p.tell()
		}
	})
	return nil
}

func (p *discoveryConn) tell() {
	p.waits = false
	text := p.discovery.eventsAfter(p.after)
	b := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	if p.discovery.fragments == 0 {
		p.conn.Send(b)
		return
	}
	p.drip(b)
}

// drip sends an answer in pieces.
func (p *discoveryConn) drip(b []byte) {
	if p.gone || len(b) == 0 {
		return
	}
	n := 1 + p.discovery.d.world.Random.IntN(min(len(b), 200))
	p.conn.Send(b[:n])
	p.discovery.host.After(30*ms, func() { p.drip(b[n:]) })
}

func (p *discoveryConn) Closed(error) {
	p.gone, p.waits = true, false
	for i, o := range p.discovery.connections {
		if o == p {
			p.discovery.connections = append(p.discovery.connections[:i], p.discovery.connections[i+1:]...)
			return
		}
	}
}
