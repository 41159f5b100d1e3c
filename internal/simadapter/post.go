package simadapter

import (
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"threadrun/internal/deployment"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// post is one instance: its router, and the wire's names for what the router knows by number.
type post struct {
	link    *Adapter
	router  *routing.Router
	names   *deployment.Names
	visits  map[string]routing.RequestID
	txns    []string // by the visit's place
	ids     map[string]routing.EndpointID
	caches  []string
	pending string // id of the visit that is arriving
}

func newPost(l *Adapter, e *fastjson.Value) (*post, error) {
	p := &post{link: l, visits: map[string]routing.RequestID{}, ids: map[string]routing.EndpointID{}}
	var err error
	p.router, p.names, err = deployment.NewRouter(e.Get("info"), uint32(e.GetUint64("salt")), p)
	return p, err
}

func (p *post) list(e *fastjson.Value) {
	how := str(e, "kind")
	if how == "lost" {
		p.router.EndpointWatchLost()
		return
	}
	var page []entry
	if n := e.GetInt("page"); n >= 0 && n < len(p.link.pages) {
		page = p.link.pages[n]
	}
	list := make([]routing.Endpoint, 0, len(page))
	for _, x := range page {
		id, ok := p.ids[x.name]
		if !ok {
			id = routing.EndpointID(len(p.caches))
			p.ids[x.name] = id
			p.caches = append(p.caches, x.name)
		}
		c := x.Endpoint
		c.ID, c.Zone, c.Tier = id, p.names.Zone(x.zone), p.names.Tier(x.kind)
		list = append(list, c)
	}
	p.router.UpdateEndpoints(list, how != "incr")
}

func (p *post) accept(e *fastjson.Value) {
	p.pending = str(e, "txn")
	use, ok := p.names.Class(e.GetStringBytes("service"))
	if !ok {
		return
	}
	flags := e.GetInt("flags")
	p.router.RequestArrived(routing.Request{
		Class: use, Object: routing.ObjectID(hash.String(str(e, "item"))), Part: e.GetInt("range_no"),
		Group: routing.GroupID(e.GetInt("tag")), Tenant: p.names.Tenant(e.GetStringBytes("owner")), Write: flags&4 != 0,
		Remaining: micros(e.GetFloat64("expires_in")), SizeKB: e.GetFloat64("size_kb"),
	})
}

// Accepted ties the wire's id of the arriving visit to the router's.
func (p *post) Accepted(v routing.RequestID) {
	for len(p.txns) <= v.Index() {
		p.txns = append(p.txns, "")
	}
	p.txns[v.Index()] = p.pending
	p.visits[p.pending] = v
}

func (p *post) begin(op string) {
	p.link.buf = append(append(append(p.link.buf, `{"op":"`...), op...), '"')
}

func (p *post) word(key, val string) {
	b := append(append(append(p.link.buf, `,"`...), key...), `":`...)
	p.link.buf = strconv.AppendQuoteToASCII(b, val)
}

func (p *post) time(key string, t routing.Micros) {
	p.link.buf = appendMillis(append(append(append(p.link.buf, `,"`...), key...), `":`...), t)
}

func (p *post) number(key string, n int) {
	p.link.buf = strconv.AppendInt(append(append(append(p.link.buf, `,"`...), key...), `":`...), int64(n), 10)
}

func (p *post) end() { p.link.buf = append(p.link.buf, "},"...) }

// Forward encodes a trip.
func (p *post) Forward(v routing.RequestID, t routing.ForwardPlan) {
	p.begin("get")
	p.word("txn", p.txns[v.Index()])
	p.word("server", p.caches[t.Cache])
	if t.Source != routing.NoEndpoint {
		p.word("miss_from", p.caches[t.Source])
	}
	p.time("until", t.Deadline)
	p.number("rank", t.Rank)
	if t.MaxAge > 0 {
		p.time("age_span", t.MaxAge)
	}
	bits := 0
	if t.JoinFill {
		bits |= 1
	}
	if t.OnlyIfCached {
		bits |= 2
	}
	if t.StaleWhileRevalidate {
		bits |= 8
	}
	p.number("switches", bits)
	p.end()
}

// Reject encodes a deferral, with a time to come back where one is named.
func (p *post) Reject(v routing.RequestID, comeback routing.Micros) {
	p.begin("decline")
	p.word("txn", p.txns[v.Index()])
	if comeback > 0 {
		p.time("wait", comeback)
	}
	p.end()
}

// Fail encodes a scrapping.
func (p *post) Fail(v routing.RequestID) {
	p.begin("report_failure")
	p.word("txn", p.txns[v.Index()])
	p.end()
}

// Release forgets a visit's names.
func (p *post) Release(v routing.RequestID) {
	delete(p.visits, p.txns[v.Index()])
	p.txns[v.Index()] = ""
}

// SetTimer encodes a timer.
func (p *post) SetTimer(at routing.Micros) {
	p.begin("sleep")
	p.time("instant", at)
	p.word("ctx", "wake")
	p.end()
}

// WatchEndpoints encodes a subscription to the list of caches.
func (p *post) WatchEndpoints() {
	p.begin("observe")
	p.link.buf = append(p.link.buf, `,"enable":true`...)
	p.end()
}

// LocateCopies has nothing to do: others are not asked on the wire.
func (p *post) LocateCopies(routing.RequestID) {}

// Log encodes a log line.
func (p *post) Log(message string, fields ...routing.Field) {
	line := []byte(message)
	for _, f := range fields {
		line = fmt.Appendf(line, " %s=%v", f.Key, f.Value)
	}
	p.begin("journal_line")
	p.word("message", string(line))
	p.end()
}

// SuggestRefresh has nothing to do: no copies are renewed ahead on the wire.
func (p *post) SuggestRefresh(routing.RequestID, routing.Micros, routing.Micros) {}
