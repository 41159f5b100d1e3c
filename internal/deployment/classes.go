package deployment

import (
	"fmt"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// readClasses reads the request classes, which the settings call 'lanes'.
func readClasses(r *reader, settings *fastjson.Value) []routing.Class {
	var classes []routing.Class
	extra := settings.Get("extra")
	for i, object := range r.array(settings, "lanes", true) {
		r.prefix = fmt.Sprintf("lanes[%d].", i)
		classes = append(classes, readClass(r, object, extra, i))
	}
	r.prefix = ""
	return classes
}

// minObjectiveMS is one microsecond, the least latency objective above 0 that routing.Micros can represent.
const minObjectiveMS = 0.001

// readClass reads class i from its object in 'lanes' and from the arrays in 'extra' that are indexed by class.
func readClass(r *reader, object, extra *fastjson.Value, i int) routing.Class {
	class := routing.Class{
		KeyWindow:         r.millis(object, "window", 0),
		LatencyObjective:  r.millis(object, "aim", minObjectiveMS),
		SendTimeFactor:    r.number(object, "aim_stretch", 0, 0),
		PriorityWeight:    r.number(object, "value", 1, 0),
		LateWeight:        r.number(object, "late_worth", 0, 0),
		FreshnessLifetime: micros(element(extra, "class_fresh", i).GetFloat64()),
		Grace:             micros(element(extra, "usable_after", i).GetFloat64()),
		Write:             element(extra, "class_write", i).GetBool(),
	}
	r.bool(object, "streaming") // has no effect, but is validated
	class.Effect = readEffect(r, object)
	class.KeyScope = readKeyScope(r, object)
	if class.Effect == routing.Keyed && class.KeyWindow <= 0 {
		r.fail("window", "is missing, but the class uses idempotency keys")
	}
	return class
}

// readEffect reads whether a request of a class may be executed more than once.
func readEffect(r *reader, object *fastjson.Value) routing.Effect {
	switch effect := r.string(object, "effect"); effect {
	case "read_like":
		return routing.Idempotent
	case "idempotency_key":
		return routing.Keyed
	case "non_idempotent":
		return routing.NonIdempotent
	default: // mandatory: a wrong default could cause a write to be executed twice
		r.fail("effect", fmt.Sprintf("is %q, which is not a known effect", effect))
		return routing.Idempotent
	}
}

// readKeyScope reads which caches recognize and drop repeats of a keyed request.
func readKeyScope(r *reader, object *fastjson.Value) routing.KeyScope {
	switch r.choice(object, "group", "all", "zone", "cell") {
	case "zone":
		return routing.KeyScopeZone
	case "cell":
		return routing.KeyScopeCell
	}
	return routing.KeyScopeFleet
}

// readTenants reads the quota of each tenant. All tenants have the same weight beyond their quotas.
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
