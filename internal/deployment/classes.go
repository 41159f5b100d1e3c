package deployment

import (
	"fmt"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// readClasses reads the classes, which are called 'lanes' in the settings.
func readClasses(r *reader, settings *fastjson.Value) []routing.Class {
	var classes []routing.Class
	extra := settings.Get("extra")
	for i, lane := range r.array(settings, "lanes", true) {
		r.prefix = fmt.Sprintf("lanes[%d].", i)
		classes = append(classes, readClass(r, lane, extra, i))
	}
	r.prefix = ""
	return classes
}

const minObjectiveMS = 0.001

// readClass reads class i from its lane and from arrays indexed by class.
func readClass(r *reader, lane, extra *fastjson.Value, i int) routing.Class {
	class := routing.Class{
		KeyWindow:         r.millis(lane, "window", 0),
		LatencyObjective:  r.millis(lane, "aim", minObjectiveMS),
		SendTimeFactor:    r.number(lane, "aim_stretch", 0, 0),
		PriorityWeight:    r.number(lane, "value", 1, 0),
		LateWeight:        r.number(lane, "late_worth", 0, 0),
		FreshnessLifetime: micros(element(extra, "class_fresh", i).GetFloat64()),
		Grace:             micros(element(extra, "usable_after", i).GetFloat64()),
		Write:             element(extra, "class_write", i).GetBool(),
	}
	r.bool(lane, "streaming") // validated, but not used
	class.Effect = readEffect(r, lane)
	class.KeyScope = readKeyScope(r, lane)
	if class.Effect == routing.Keyed && class.KeyWindow <= 0 {
		r.fail("window", "is missing, but the class uses idempotency keys")
	}
	return class
}

func readEffect(r *reader, lane *fastjson.Value) routing.Effect {
	switch effect := r.string(lane, "effect"); effect {
	case "read_like":
		return routing.Idempotent
	case "idempotency_key":
		return routing.Keyed
	case "non_idempotent":
		return routing.NonIdempotent
	default: // a guess could make a write run twice, so there is no default
		r.fail("effect", fmt.Sprintf("is %q, which is not a known effect", effect))
		return routing.Idempotent
	}
}

func readKeyScope(r *reader, lane *fastjson.Value) routing.KeyScope {
	switch r.choice(lane, "group", "all", "zone", "cell") {
	case "zone":
		return routing.KeyScopeZone
	case "cell":
		return routing.KeyScopeCell
	}
	return routing.KeyScopeFleet
}

func readTenants(r *reader, settings *fastjson.Value) []routing.Tenant {
	var tenants []routing.Tenant
	overQuota := r.number(settings, "over_share_worth", 0, 0)
	for _, tenant := range r.array(settings, "tenants", false) {
		tenants = append(tenants, routing.Tenant{
			QuotaPerSecond:  tenant.GetFloat64("quota_rps"),
			OverQuotaWeight: overQuota,
		})
	}
	return tenants
}
