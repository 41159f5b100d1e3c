// Package deployment is the one place where what is told at start is read, checked and given defaults: the file of
// a real router, and the settings object that it shares with the simulator. Its errors name the faulty key.
package deployment

import (
	"fmt"
	"math"
	"strings"

	"github.com/valyala/fastjson"

	"threadrun/decide"
)

// Names are the settings' names for what the module knows by number.
type Names struct {
	Zones          map[string]decide.ZoneID
	UseCases       []string
	byCase         map[string]decide.UseCaseID
	byTenant       map[string]decide.TenantID
	Parent, Origin string // kinds of machine
	Own            decide.ZoneID
	Cases          []decide.UseCase
	PaceKB         float64 // KB a second of one answer at full pace
}

// UseCase finds a use case by its name.
func (n *Names) UseCase(name []byte) (decide.UseCaseID, bool) {
	id, ok := n.byCase[string(name)]
	return id, ok
}

// Tenant finds a tenant by its name; NoTenant stands for one that the settings do not name.
func (n *Names) Tenant(name []byte) decide.TenantID {
	if id, ok := n.byTenant[string(name)]; ok {
		return id
	}
	return decide.NoTenant
}

// Zone finds a zone by its name; -1 stands for one that the settings do not name.
func (n *Names) Zone(name string) decide.ZoneID {
	if id, ok := n.Zones[name]; ok {
		return id
	}
	return -1
}

// Tier tells what a kind of machine is.
func (n *Names) Tier(kind string) decide.Tier {
	switch {
	case kind == "":
		return decide.Edge
	case kind == n.Parent:
		return decide.Parent
	case kind == n.Origin:
		return decide.Origin
	}
	return decide.Edge
}

// Site makes a router's module from the settings object.
func Site(in *fastjson.Value, seed uint32, desk decide.Desk) (*decide.Router, *Names, error) {
	k := &keys{}
	if in == nil || in.Type() != fastjson.TypeObject {
		return nil, nil, fmt.Errorf("settings: no object")
	}
	n := names(k, in)
	cases := useCases(k, in)
	tenants := tenants(k, in)
	branch := branch(k, in, n)
	leave := leave(k, in)
	edge, parent := coldStarts(k, in)
	purges := purges(k, in)
	if k.err != nil {
		return nil, nil, k.err
	}
	n.Own, n.Cases, n.PaceKB = branch.Zone, cases, branch.PaceKB
	return decide.New(seed, desk, cases, tenants, branch, leave, edge, parent, purges), n, nil
}

func names(k *keys, in *fastjson.Value) *Names {
	n := &Names{Zones: map[string]decide.ZoneID{}, byCase: map[string]decide.UseCaseID{},
		byTenant: map[string]decide.TenantID{}}
	for i, z := range k.array(in, "failure_domains", true) {
		n.Zones[text(z)] = decide.ZoneID(i)
	}
	kinds := k.array(in, "kinds", true)
	kind := func(key string) string {
		if at := int(k.number(in, "extra."+key, -1, -1)); at >= 0 && at < len(kinds) {
			return text(kinds[at])
		}
		return ""
	}
	n.Parent, n.Origin = kind("mid_kind"), kind("root_kind")
	for i, c := range k.array(in, "lanes", true) {
		name := string(c.GetStringBytes("name"))
		if name == "" || strings.ContainsAny(name, " ,=\r\n") {
			k.fault(fmt.Sprintf("lanes[%d].name", i), fmt.Sprintf("is %q, no plain word", name))
		}
		n.byCase[name] = decide.UseCaseID(i)
		n.UseCases = append(n.UseCases, name)
	}
	for i, t := range k.array(in, "tenants", false) {
		n.byTenant[string(t.GetStringBytes("name"))] = decide.TenantID(i)
	}
	return n
}

func useCases(k *keys, in *fastjson.Value) []decide.UseCase {
	var cases []decide.UseCase
	x := in.Get("extra")
	for i, c := range k.array(in, "lanes", true) {
		at := fmt.Sprintf("lanes[%d].", i)
		k.prefix = at
		u := decide.UseCase{
			Window: k.span(c, "window", 0), Expected: k.span(c, "aim", 0.001),
			Stretch: k.number(c, "aim_stretch", 0, 0), Importance: k.number(c, "value", 1, 0),
			LateWorth: k.number(c, "late_worth", 0, 0), Streams: k.truth(c, "streaming"),
			Fresh:    micros(element(x, "class_fresh", i).GetFloat64()),
			Grace:    micros(element(x, "usable_after", i).GetFloat64()),
			OldWorth: element(x, "worth_when_old", i).GetFloat64(), Write: element(x, "class_write", i).GetBool(),
			Parted: element(x, "segmented", i).GetBool(),
		}
		switch s := k.word(c, "effect"); s {
		case "read_like":
		case "idempotency_key":
			u.Effect = decide.Stamped
		case "non_idempotent":
			u.Effect = decide.OneShot
		default: // what a repeat would do is no matter for a guess
			k.fault("effect", fmt.Sprintf("is %q, which is no known effect", s))
		}
		switch k.choice(c, "group", "all", "zone", "cell") {
		case "zone":
			u.Reach = decide.OwnZone
		case "cell":
			u.Reach = decide.OwnCell
		}
		if u.Effect == decide.Stamped && u.Window <= 0 {
			k.fault("window", "is missing, and the class's repeats are dropped by a key")
		}
		k.prefix = ""
		cases = append(cases, u)
	}
	return cases
}

func tenants(k *keys, in *fastjson.Value) []decide.Tenant {
	var out []decide.Tenant
	beyond := k.number(in, "over_share_worth", 0, 0)
	for _, t := range k.array(in, "tenants", false) {
		out = append(out, decide.Tenant{PerSecond: t.GetFloat64("quota_rps"), OverWorth: beyond})
	}
	return out
}

func branch(k *keys, in *fastjson.Value, n *Names) decide.Branch {
	x := in.Get("extra")
	zone, ok := n.Zones[k.word(in, "az")]
	if !ok {
		k.fault("az", "names none of 'failure_domains'")
	}
	b := decide.Branch{Zone: zone, Fleet: int(k.number(in, "fleet_size", 1, 0)),
		Crew: element(x, "crew_by_zone", int(zone)).GetInt(), PaceKB: k.number(in, "extra.pace_kb_per_s", 0, 0)}
	for _, h := range x.GetArray("home_hub") {
		b.Hubs = append(b.Hubs, decide.ZoneID(h.GetInt()))
	}
	for _, l := range x.GetArray("pipe_kb_per_s") {
		b.LinksKB = append(b.LinksKB, l.GetFloat64())
	}
	return b
}

func leave(k *keys, in *fastjson.Value) decide.Leave {
	l := decide.Leave{Trips: int(k.number(in, "limits.send_cap", 1, 0)), TwoAtOnce: k.truth(in, "limits.parallel_tries"),
		Withdraw: k.truth(in, "limits.cancelling"), Direct: k.truth(in, "extra.direct"),
		Join: k.truth(in, "extra.can_join"), Ask: k.choice(in, "discovery", "push", "ask") == "ask",
		Told: k.choice(in, "extra.detail", "off", "hit", "all") == "all"}
	// Decisions go by neither of the two; a word that is not known may mean what is not known either.
	k.choice(in, "report.how", "off", "inline", "on_probe")
	k.choice(in, "weight_source", "off", "nominal", "rough", "live")
	if k.truth(in, "limits.retry_after") {
		l.LongestComeback = k.span(in, "limits.max_retry_after", 0)
	}
	switch k.choice(in, "extra.siblings", "off", "location", "any") {
	case "location":
		l.Siblings = true
	case "any":
		l.Siblings, l.AnyZone = true, true
	}
	return l
}

func coldStarts(k *keys, in *fastjson.Value) (edge, parent decide.ColdStart) {
	window := k.span(in, "rules.overload_for", 0)
	edge = decide.ColdStart{Least: k.number(in, "rules.cold_from", 1, 0), Ramp: k.span(in, "rules.cold", 0),
		Multiple: k.number(in, "rules.fall_multiple", 1, 0), Window: window}
	parent = decide.ColdStart{Least: k.number(in, "extra.parent_starts_at", 1, 0),
		Ramp: k.span(in, "extra.parent_ramp", 0), Multiple: k.number(in, "extra.parent_breaks_at", 1, 0), Window: window}
	return edge, parent
}

func purges(k *keys, in *fastjson.Value) decide.Purges {
	return decide.Purges{Grace: k.span(in, "extra.obey_after", 0), Takes: k.span(in, "extra.purge_takes", 0)}
}

// Connections gives what the settings say of connections to caches: how long a connect may take, how long an idle
// one is kept by the other side, and how many trips one carries.
func Connections(in *fastjson.Value) (connect, idle decide.Micros, streams int, err error) {
	k := &keys{}
	connect, idle = k.span(in, "limits.connect_timeout", 1), k.span(in, "limits.conn_idle", 1)
	streams = int(k.number(in, "limits.streams_per_conn", 1, 1))
	return connect, idle, streams, k.err
}

func micros(ms float64) decide.Micros { return decide.Micros(math.Round(ms * 1000)) }

// element finds element i of an array, or null.
func element(v *fastjson.Value, key string, i int) *fastjson.Value {
	if a := v.GetArray(key); i >= 0 && i < len(a) {
		return a[i]
	}
	return null
}

var null = fastjson.MustParse("null")
