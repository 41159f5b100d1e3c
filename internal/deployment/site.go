// Package deployment is the one place where what is told at start is read, checked and given defaults: the file of
// a real router, and the settings object that it shares with the simulator. Its errors name the faulty key.
package deployment

import (
	"fmt"
	"math"
	"strings"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// Names are the settings' names for what the module knows by number.
type Names struct {
	Zones                  map[string]routing.ZoneID
	ClassNames             []string
	classIDs               map[string]routing.ClassID
	tenantIDs              map[string]routing.TenantID
	parentKind, originKind string // kinds of machine
	OwnZone                routing.ZoneID
	Classes                []routing.Class
	StreamKBPerSecond      float64 // KB a second of one answer at full pace
}

// Class finds a use case by its name.
func (n *Names) Class(name []byte) (routing.ClassID, bool) {
	id, ok := n.classIDs[string(name)]
	return id, ok
}

// Tenant finds a tenant by its name; NoTenant stands for one that the settings do not name.
func (n *Names) Tenant(name []byte) routing.TenantID {
	if id, ok := n.tenantIDs[string(name)]; ok {
		return id
	}
	return routing.NoTenant
}

// Zone finds a zone by its name; -1 stands for one that the settings do not name.
func (n *Names) Zone(name string) routing.ZoneID {
	if id, ok := n.Zones[name]; ok {
		return id
	}
	return -1
}

// Tier tells what a kind of machine is.
func (n *Names) Tier(kind string) routing.Tier {
	switch {
	case kind == "":
		return routing.Edge
	case kind == n.parentKind:
		return routing.Parent
	case kind == n.originKind:
		return routing.Origin
	}
	return routing.Edge
}

// NewRouter makes a router's module from the settings object.
func NewRouter(in *fastjson.Value, seed uint32, desk routing.Executor) (*routing.Router, *Names, error) {
	k := &reader{}
	if in == nil || in.Type() != fastjson.TypeObject {
		return nil, nil, fmt.Errorf("settings: no object")
	}
	n := readNames(k, in)
	cases := readClasses(k, in)
	tenants := readTenants(k, in)
	branch := readLocality(k, in, n)
	leave := readPermissions(k, in)
	edge, parent := readSlowStart(k, in)
	purges := readPurgeTiming(k, in)
	if k.err != nil {
		return nil, nil, k.err
	}
	n.OwnZone, n.Classes, n.StreamKBPerSecond = branch.Zone, cases, branch.StreamKBPerSecond
	return routing.New(seed, desk, cases, tenants, branch, leave, edge, parent, purges), n, nil
}

func readNames(k *reader, in *fastjson.Value) *Names {
	n := &Names{Zones: map[string]routing.ZoneID{}, classIDs: map[string]routing.ClassID{},
		tenantIDs: map[string]routing.TenantID{}}
	for i, z := range k.array(in, "failure_domains", true) {
		n.Zones[stringOf(z)] = routing.ZoneID(i)
	}
	kinds := k.array(in, "kinds", true)
	kind := func(key string) string {
		if at := int(k.number(in, "extra."+key, -1, -1)); at >= 0 && at < len(kinds) {
			return stringOf(kinds[at])
		}
		return ""
	}
	n.parentKind, n.originKind = kind("mid_kind"), kind("root_kind")
	for i, c := range k.array(in, "lanes", true) {
		name := string(c.GetStringBytes("name"))
		if name == "" || strings.ContainsAny(name, " ,=\r\n") {
			k.fail(fmt.Sprintf("lanes[%d].name", i), fmt.Sprintf("is %q, no plain word", name))
		}
		n.classIDs[name] = routing.ClassID(i)
		n.ClassNames = append(n.ClassNames, name)
	}
	for i, t := range k.array(in, "tenants", false) {
		n.tenantIDs[string(t.GetStringBytes("name"))] = routing.TenantID(i)
	}
	return n
}

func readClasses(k *reader, in *fastjson.Value) []routing.Class {
	var cases []routing.Class
	x := in.Get("extra")
	for i, c := range k.array(in, "lanes", true) {
		at := fmt.Sprintf("lanes[%d].", i)
		k.prefix = at
		u := routing.Class{
			KeyWindow: k.millis(c, "window", 0), LatencyObjective: k.millis(c, "aim", 0.001),
			SendTimeFactor: k.number(c, "aim_stretch", 0, 0), PriorityWeight: k.number(c, "value", 1, 0),
			LateWeight: k.number(c, "late_worth", 0, 0), Streams: k.bool(c, "streaming"),
			FreshnessLifetime: micros(element(x, "class_fresh", i).GetFloat64()),
			Grace:             micros(element(x, "usable_after", i).GetFloat64()),
			StaleWeight:       element(x, "worth_when_old", i).GetFloat64(), Write: element(x, "class_write", i).GetBool(),
			Parted: element(x, "segmented", i).GetBool(),
		}
		switch s := k.string(c, "effect"); s {
		case "read_like":
		case "idempotency_key":
			u.Effect = routing.Keyed
		case "non_idempotent":
			u.Effect = routing.NonIdempotent
		default: // what a repeat would do is no matter for a guess
			k.fail("effect", fmt.Sprintf("is %q, which is no known effect", s))
		}
		switch k.choice(c, "group", "all", "zone", "cell") {
		case "zone":
			u.KeyScope = routing.KeyScopeZone
		case "cell":
			u.KeyScope = routing.KeyScopeCell
		}
		if u.Effect == routing.Keyed && u.KeyWindow <= 0 {
			k.fail("window", "is missing, and the class's repeats are dropped by a key")
		}
		k.prefix = ""
		cases = append(cases, u)
	}
	return cases
}

func readTenants(k *reader, in *fastjson.Value) []routing.Tenant {
	var out []routing.Tenant
	beyond := k.number(in, "over_share_worth", 0, 0)
	for _, t := range k.array(in, "tenants", false) {
		out = append(out, routing.Tenant{QuotaPerSecond: t.GetFloat64("quota_rps"), OverQuotaWeight: beyond})
	}
	return out
}

func readLocality(k *reader, in *fastjson.Value, n *Names) routing.Locality {
	x := in.Get("extra")
	zone, ok := n.Zones[k.string(in, "az")]
	if !ok {
		k.fail("az", "names none of 'failure_domains'")
	}
	b := routing.Locality{Zone: zone, FleetRouters: int(k.number(in, "fleet_size", 1, 0)),
		ZoneRouters: element(x, "crew_by_zone", int(zone)).GetInt(), StreamKBPerSecond: k.number(in, "extra.pace_kb_per_s", 0, 0)}
	for _, h := range x.GetArray("home_hub") {
		b.Hubs = append(b.Hubs, routing.ZoneID(h.GetInt()))
	}
	for _, l := range x.GetArray("pipe_kb_per_s") {
		b.LinkKBPerSecond = append(b.LinkKBPerSecond, l.GetFloat64())
	}
	return b
}

func readPermissions(k *reader, in *fastjson.Value) routing.Permissions {
	l := routing.Permissions{MaxAttempts: int(k.number(in, "limits.send_cap", 1, 0)), Hedging: k.bool(in, "limits.parallel_tries"),
		Canceling: k.bool(in, "limits.cancelling"), Bypass: k.bool(in, "extra.direct"),
		JoinFills: k.bool(in, "extra.can_join"), WatchEndpoints: k.choice(in, "discovery", "push", "ask") == "ask",
		FullCacheStatus: k.choice(in, "extra.detail", "off", "hit", "all") == "all"}
	// Decisions go by neither of the two; a word that is not known may mean what is not known either.
	k.choice(in, "report.how", "off", "inline", "on_probe")
	k.choice(in, "weight_source", "off", "nominal", "rough", "live")
	if k.bool(in, "limits.retry_after") {
		l.MaxRetryAfter = k.millis(in, "limits.max_retry_after", 0)
	}
	switch k.choice(in, "extra.siblings", "off", "location", "any") {
	case "location":
		l.SiblingFills = true
	case "any":
		l.SiblingFills, l.AnyZone = true, true
	}
	return l
}

func readSlowStart(k *reader, in *fastjson.Value) (edge, parent routing.SlowStart) {
	window := k.millis(in, "rules.overload_for", 0)
	edge = routing.SlowStart{InitialShare: k.number(in, "rules.cold_from", 1, 0), Ramp: k.millis(in, "rules.cold", 0),
		OverloadMultiple: k.number(in, "rules.fall_multiple", 1, 0), OverloadWindow: window}
	parent = routing.SlowStart{InitialShare: k.number(in, "extra.parent_starts_at", 1, 0),
		Ramp: k.millis(in, "extra.parent_ramp", 0), OverloadMultiple: k.number(in, "extra.parent_breaks_at", 1, 0), OverloadWindow: window}
	return edge, parent
}

func readPurgeTiming(k *reader, in *fastjson.Value) routing.PurgeTiming {
	return routing.PurgeTiming{Grace: k.millis(in, "extra.obey_after", 0), Propagation: k.millis(in, "extra.purge_takes", 0)}
}

// CacheConnections gives what the settings say of connections to caches: how long a connect may take, how long an idle
// one is kept by the other side, and how many trips one carries.
func CacheConnections(in *fastjson.Value) (connect, idle routing.Micros, streams int, err error) {
	k := &reader{}
	connect, idle = k.millis(in, "limits.connect_timeout", 1), k.millis(in, "limits.conn_idle", 1)
	streams = int(k.number(in, "limits.streams_per_conn", 1, 1))
	return connect, idle, streams, k.err
}

func micros(ms float64) routing.Micros { return routing.Micros(math.Round(ms * 1000)) }

// element finds element i of an array, or null.
func element(v *fastjson.Value, key string, i int) *fastjson.Value {
	if a := v.GetArray(key); i >= 0 && i < len(a) {
		return a[i]
	}
	return null
}

var null = fastjson.MustParse("null")
