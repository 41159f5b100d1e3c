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

// board is the bulletin.
type board struct {
	d      *Drill
	host   *network.Host
	open   *transport.Engine
	items  []string
	polls  []*poll
	late   Micros   // news reaches it no sooner
	held   []func() // news until then
	pieces nested
}

// poll is a router's connection.
type poll struct {
	b      *board
	conn   *transport.Conn
	in     []byte
	waits  bool
	after  int
	router invariants.RouterID
	gone   bool
	no     int
}

const boardPort = 8000

func (b *board) rise() {
	b.open = transport.NewWithRuntime(b.host.Start(), b.d.quiet)
	b.open.SetMaxAccepted(4096)
	_ = b.open.Listen(fmt.Sprintf("%s:%d", b.host.Addr, boardPort), func(c *transport.Conn) transport.Handler {
		p := &poll{b: b, conn: c, router: b.d.routerAt(c.String())}
		b.polls = append(b.polls, p)
		return p
	})
}

// post adds an event, or keeps it until the bulletin gets it: what it does not have it has not told.
func (b *board) post(text string, e invariants.Event) {
	if len(b.held) > 0 || b.out() {
		if b.held = append(b.held, func() { b.add(text, e) }); len(b.held) == 1 {
			b.d.w.At(b.d.w.Now()+50*ms, b.get)
		}
		return
	}
	b.add(text, e)
}

func (b *board) out() bool { return b.d.w.Now() < b.late || b.host.Away() }

func (b *board) get() {
	if b.out() {
		b.d.w.At(b.d.w.Now()+50*ms, b.get)
		return
	}
	held := b.held
	b.held = nil
	for _, f := range held {
		f()
	}
}

func (b *board) add(text string, e invariants.Event) {
	e.Number = len(b.items) + 1
	b.items = append(b.items, fmt.Sprintf(`{"no":%d,%s}`, e.Number, text))
	b.d.tell(e)
	b.show()
}

// roster adds changes of the list. Each is an event of its own for the rules: they share the number of the last.
func (b *board) roster(all bool, lines []string, about []invariants.Event) {
	text := fmt.Sprintf(`"roster":{"rev":%d,"all":%v,"targets":[%s]}`, len(b.items)+1, all, strings.Join(lines, ","))
	for _, e := range about[:len(about)-1] { // one number is one event: the others get empty ones before
		b.post(`"roster":{"rev":0,"all":false,"targets":[]}`, e)
	}
	b.post(text, about[len(about)-1])
}

// show tells those that wait.
func (b *board) show() {
	for _, p := range b.polls {
		if p.waits && p.after < len(b.items) {
			p.tell()
		}
	}
}

func (b *board) known(after int) string {
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(b.items), strings.Join(b.items[min(after, len(b.items)):], ","))
}

func (p *poll) Data(in []byte) error {
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
			patience = millis(v)
		}
	}
	p.b.d.toldUpTo(p.router, p.after)
	p.waits = true
	p.no++
	if p.after < len(p.b.items) {
		p.tell()
		return nil
	}
	no := p.no
	p.b.host.After(patience, func() {
		if p.waits && p.no == no {
			p.tell()
		}
	})
	return nil
}

func (p *poll) tell() {
	p.waits = false
	text := p.b.known(p.after)
	b := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	if p.b.pieces == 0 {
		p.conn.Send(b)
		return
	}
	p.drip(b)
}

// drip sends an answer in pieces.
func (p *poll) drip(b []byte) {
	if p.gone || len(b) == 0 {
		return
	}
	n := 1 + p.b.d.w.Chance.IntN(min(len(b), 200))
	p.conn.Send(b[:n])
	p.b.host.After(30*ms, func() { p.drip(b[n:]) })
}

func (p *poll) Closed(error) {
	p.gone, p.waits = true, false
	for i, o := range p.b.polls {
		if o == p {
			p.b.polls = append(p.b.polls[:i], p.b.polls[i+1:]...)
			return
		}
	}
}
