package benchwire

import (
	"strconv"

	"github.com/valyala/fastjson"

	"threadrun/decide"
	"threadrun/internal/mix"
)

// post is one instance: its router, and the wire's names for what the router knows by number.
type post struct {
	link    *Link
	router  *decide.Router
	visits  map[string]decide.VisitID
	txns    []string // by the visit's place
	ids     map[string]decide.CacheID
	names   []string
	zones   map[string]decide.ZoneID
	cases   map[string]decide.UseCaseID
	tenants map[string]decide.TenantID
	parent  string
	origin  string
	pending string // id of the visit that is arriving
}

func newPost(l *Link, e *fastjson.Value) *post {
	p := &post{link: l, visits: map[string]decide.VisitID{}, ids: map[string]decide.CacheID{},
		zones: map[string]decide.ZoneID{}, cases: map[string]decide.UseCaseID{},
		tenants: map[string]decide.TenantID{}}
	in := e.Get("info")
	x, lim, rules := in.Get("extra"), in.Get("limits"), in.Get("rules")
	for i, z := range in.GetArray("failure_domains") {
		p.zones[text(z)] = decide.ZoneID(i)
	}
	kinds := in.GetArray("kinds")
	kind := func(key string) string {
		if n := x.GetInt(key); x.Exists(key) && n >= 0 && n < len(kinds) {
			return text(kinds[n])
		}
		return ""
	}
	p.parent, p.origin = kind("mid_kind"), kind("root_kind")
	var cases []decide.UseCase
	for i, c := range in.GetArray("lanes") {
		p.cases[str(c, "name")] = decide.UseCaseID(i)
		u := decide.UseCase{
			Window: micros(c.GetFloat64("window")), Expected: micros(c.GetFloat64("aim")),
			Stretch: c.GetFloat64("aim_stretch"), Importance: c.GetFloat64("value"),
			LateWorth: c.GetFloat64("late_worth"), Streams: c.GetBool("streaming"),
			Fresh: micros(at(x, "class_fresh", i).GetFloat64()), Grace: micros(at(x, "usable_after", i).GetFloat64()),
			OldWorth: at(x, "worth_when_old", i).GetFloat64(), Write: at(x, "class_write", i).GetBool(),
			Parted: at(x, "segmented", i).GetBool(),
		}
		switch str(c, "effect") {
		case "idempotency_key":
			u.Effect = decide.Stamped
		case "non_idempotent":
			u.Effect = decide.OneShot
		}
		switch str(c, "group") {
		case "zone":
			u.Reach = decide.OwnZone
		case "cell":
			u.Reach = decide.OwnCell
		}
		cases = append(cases, u)
	}
	var tenants []decide.Tenant
	beyond := in.GetFloat64("over_share_worth")
	for i, t := range in.GetArray("tenants") {
		p.tenants[str(t, "name")] = decide.TenantID(i)
		tenants = append(tenants, decide.Tenant{PerSecond: t.GetFloat64("quota_rps"), OverWorth: beyond})
	}
	zone := p.zones[str(in, "az")]
	branch := decide.Branch{Zone: zone, Fleet: in.GetInt("fleet_size"),
		Crew: at(x, "crew_by_zone", int(zone)).GetInt(), PaceKB: x.GetFloat64("pace_kb_per_s")}
	for _, h := range x.GetArray("home_hub") {
		branch.Hubs = append(branch.Hubs, decide.ZoneID(h.GetInt()))
	}
	for _, k := range x.GetArray("pipe_kb_per_s") {
		branch.LinksKB = append(branch.LinksKB, k.GetFloat64())
	}
	leave := decide.Leave{Trips: lim.GetInt("send_cap"), TwoAtOnce: lim.GetBool("parallel_tries"),
		Withdraw: lim.GetBool("cancelling"), Direct: x.GetBool("direct"), Join: x.GetBool("can_join"),
		Ask: str(in, "discovery") == "ask", Told: str(x, "detail") == "all",
	}
	if lim.GetBool("retry_after") {
		leave.LongestComeback = micros(lim.GetFloat64("max_retry_after"))
	}
	switch str(x, "siblings") {
	case "location":
		leave.Siblings = true
	case "any":
		leave.Siblings, leave.AnyZone = true, true
	}
	window := micros(rules.GetFloat64("overload_for"))
	edge := decide.ColdStart{Least: rules.GetFloat64("cold_from"), Multiple: rules.GetFloat64("fall_multiple"),
		Ramp: micros(rules.GetFloat64("cold")), Window: window}
	parent := decide.ColdStart{Least: x.GetFloat64("parent_starts_at"), Multiple: x.GetFloat64("parent_breaks_at"),
		Ramp: micros(x.GetFloat64("parent_ramp")), Window: window}
	purges := decide.Purges{Grace: micros(x.GetFloat64("obey_after")), Takes: micros(x.GetFloat64("purge_takes"))}
	p.router = decide.New(uint32(e.GetUint64("salt")), p, cases, tenants, branch, leave, edge, parent, purges)
	return p
}

func (p *post) list(e *fastjson.Value) {
	how := str(e, "kind")
	if how == "lost" {
		p.router.ListLost()
		return
	}
	var page []entry
	if n := e.GetInt("page"); n >= 0 && n < len(p.link.pages) {
		page = p.link.pages[n]
	}
	list := make([]decide.Listed, 0, len(page))
	for _, x := range page {
		id, ok := p.ids[x.name]
		if !ok {
			id = decide.CacheID(len(p.names))
			p.ids[x.name] = id
			p.names = append(p.names, x.name)
		}
		c := x.Listed
		c.ID, c.Zone = id, -1
		if z, ok := p.zones[x.zone]; ok {
			c.Zone = z
		}
		switch {
		case x.kind == p.parent && p.parent != "":
			c.Tier = decide.Parent
		case x.kind == p.origin && p.origin != "":
			c.Tier = decide.Origin
		}
		list = append(list, c)
	}
	p.router.List(list, how != "incr")
}

func (p *post) accept(e *fastjson.Value) {
	p.pending = str(e, "txn")
	use, ok := p.cases[str(e, "service")]
	if !ok {
		return
	}
	tenant, ok := p.tenants[str(e, "owner")]
	if !ok {
		tenant = -1
	}
	flags := e.GetInt("flags")
	p.router.Arrive(decide.Asked{
		UseCase: use, Object: decide.ObjectID(mix.Name(str(e, "item"))), Part: e.GetInt("range_no"),
		Group: decide.GroupID(e.GetInt("tag")), Tenant: tenant, Repeat: flags&2 != 0, Write: flags&4 != 0,
		Left: micros(e.GetFloat64("expires_in")), KB: e.GetFloat64("size_kb"),
	})
}

// Taken ties the wire's id of the arriving visit to the router's.
func (p *post) Taken(v decide.VisitID) {
	for len(p.txns) <= v.Place() {
		p.txns = append(p.txns, "")
	}
	p.txns[v.Place()] = p.pending
	p.visits[p.pending] = v
}

func (p *post) begin(op string) {
	p.link.buf = append(append(append(p.link.buf, `{"op":"`...), op...), '"')
}

func (p *post) word(key, val string) {
	b := append(append(append(p.link.buf, `,"`...), key...), `":`...)
	p.link.buf = strconv.AppendQuoteToASCII(b, val)
}

func (p *post) time(key string, t decide.Micros) {
	p.link.buf = appendMillis(append(append(append(p.link.buf, `,"`...), key...), `":`...), t)
}

func (p *post) number(key string, n int) {
	p.link.buf = strconv.AppendInt(append(append(append(p.link.buf, `,"`...), key...), `":`...), int64(n), 10)
}

func (p *post) end() { p.link.buf = append(p.link.buf, "},"...) }

// Send encodes a trip.
func (p *post) Send(v decide.VisitID, t decide.Errand) {
	p.begin("get")
	p.word("txn", p.txns[v.Place()])
	p.word("server", p.names[t.Cache])
	if t.Source != decide.NoCache {
		p.word("miss_from", p.names[t.Source])
	}
	p.time("until", t.Until)
	p.number("rank", t.Rank)
	if t.Oldest > 0 {
		p.time("age_span", t.Oldest)
	}
	bits := 0
	if t.Join {
		bits |= 1
	}
	if t.HeldOnly {
		bits |= 2
	}
	if t.Renew {
		bits |= 8
	}
	p.number("switches", bits)
	p.end()
}

// Defer encodes a deferral, with a time to come back where one is named.
func (p *post) Defer(v decide.VisitID, comeback decide.Micros) {
	p.begin("decline")
	p.word("txn", p.txns[v.Place()])
	if comeback > 0 {
		p.time("wait", comeback)
	}
	p.end()
}

// Scrap encodes a scrapping.
func (p *post) Scrap(v decide.VisitID) {
	p.begin("report_failure")
	p.word("txn", p.txns[v.Place()])
	p.end()
}

// Withdraw encodes the giving up of one trip.
func (p *post) Withdraw(v decide.VisitID, n decide.TripNo) {
	p.begin("call_off")
	p.word("txn", p.txns[v.Place()])
	p.number("trial", int(n))
	p.end()
}

// Release forgets a visit's names.
func (p *post) Release(v decide.VisitID) {
	delete(p.visits, p.txns[v.Place()])
	p.txns[v.Place()] = ""
}

// Wake encodes a timer.
func (p *post) Wake(at decide.Micros) {
	p.begin("sleep")
	p.time("instant", at)
	p.word("ctx", "wake")
	p.end()
}

// Follow encodes a subscription to the list of caches.
func (p *post) Follow() {
	p.begin("observe")
	p.link.buf = append(p.link.buf, `,"enable":true`...)
	p.end()
}

// Note encodes a log line.
func (p *post) Note(line string) {
	p.begin("journal_line")
	p.word("message", line)
	p.end()
}

func text(v *fastjson.Value) string { b, _ := v.StringBytes(); return string(b) }

// at finds element i of an array, or null.
func at(v *fastjson.Value, key string, i int) *fastjson.Value {
	if a := v.GetArray(key); i >= 0 && i < len(a) {
		return a[i]
	}
	return null
}

var null = fastjson.MustParse("null")
