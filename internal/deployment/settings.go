package deployment

import (
	"fmt"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// NewRouter returns the router that a settings object describes, and the names in the settings. executor carries out
// the router's decisions; it may be nil if the caller only validates the settings. The error is ErrNoSettings or a
// *KeyError.
func NewRouter(settings *fastjson.Value, seed uint32, executor routing.Executor) (*routing.Router, *Names, error) {
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return nil, nil, ErrNoSettings
	}
	r := &reader{}
	names := readNames(r, settings)
	classes := readClasses(r, settings)
	tenants := readTenants(r, settings)
	locality := readLocality(r, settings, names)
	permissions := readPermissions(r, settings)
	edge, parent := readSlowStart(r, settings)
	purges := readPurgeTiming(r, settings)
	if r.err != nil {
		return nil, nil, r.err
	}
	names.OwnZone = locality.Zone
	names.Classes = classes
	names.StreamKBPerSecond = locality.StreamKBPerSecond
	router := routing.New(routing.Config{
		Seed:            seed,
		Executor:        executor,
		Classes:         classes,
		Tenants:         tenants,
		Locality:        locality,
		Permissions:     permissions,
		EdgeSlowStart:   edge,
		ParentSlowStart: parent,
		PurgeTiming:     purges,
	})
	return router, names, nil
}

// readLocality reads this router's zone, the numbers of routers and the bandwidths of links. It sets the zone's name in
// names.
func readLocality(r *reader, settings *fastjson.Value, names *Names) routing.Locality {
	extra := settings.Get("extra")
	names.OwnZoneName = r.string(settings, "az")
	zone, known := names.Zones[names.OwnZoneName]
	if !known {
		r.fail("az", fmt.Sprintf("is %q, which is not in 'failure_domains'", names.OwnZoneName))
	}
	locality := routing.Locality{
		Zone:              zone,
		FleetRouters:      int(r.number(settings, "fleet_size", 1, 0)),
		ZoneRouters:       element(extra, "crew_by_zone", int(zone)).GetInt(),
		StreamKBPerSecond: r.number(settings, "extra.pace_kb_per_s", 0, 0),
	}
	for _, link := range extra.GetArray("pipe_kb_per_s") {
		locality.LinkKBPerSecond = append(locality.LinkKBPerSecond, link.GetFloat64())
	}
	return locality
}

// readPermissions reads which optional mechanisms the router may use.
func readPermissions(r *reader, settings *fastjson.Value) routing.Permissions {
	permissions := routing.Permissions{
		MaxAttempts:     int(r.number(settings, "limits.send_cap", 1, 0)),
		Bypass:          r.bool(settings, "extra.direct"),
		JoinFills:       r.bool(settings, "extra.can_join"),
		WatchEndpoints:  r.choice(settings, "discovery", "push", "ask") == "ask",
		FullCacheStatus: r.choice(settings, "extra.detail", "off", "hit", "all") == "all",
	}
	// The next four settings have no effect, but they are validated: an unknown value suggests that the settings were
	// written for a router with other features, and that this router would misread other values too.
	r.bool(settings, "limits.parallel_tries")
	r.bool(settings, "limits.cancelling")
	r.choice(settings, "report.how", "off", "inline", "on_probe")
	r.choice(settings, "weight_source", "off", "nominal", "rough", "live")
	if r.bool(settings, "limits.retry_after") {
		permissions.MaxRetryAfter = r.millis(settings, "limits.max_retry_after", 0)
	}
	permissions.SiblingFills = r.choice(settings, "extra.siblings", "off", "location", "any") != "off"
	return permissions
}

// readSlowStart reads the slow start of edge caches and that of parents. Both use the same overload window.
func readSlowStart(r *reader, settings *fastjson.Value) (edge, parent routing.SlowStart) {
	window := r.millis(settings, "rules.overload_for", 0)
	edge = routing.SlowStart{
		InitialShare:     r.number(settings, "rules.cold_from", 1, 0),
		Ramp:             r.millis(settings, "rules.cold", 0),
		OverloadMultiple: r.number(settings, "rules.fall_multiple", 1, 0),
		OverloadWindow:   window,
	}
	parent = routing.SlowStart{
		InitialShare:     r.number(settings, "extra.parent_starts_at", 1, 0),
		Ramp:             r.millis(settings, "extra.parent_ramp", 0),
		OverloadMultiple: r.number(settings, "extra.parent_breaks_at", 1, 0),
		OverloadWindow:   window,
	}
	return edge, parent
}

// readPurgeTiming reads how long a purge takes to reach every cache.
func readPurgeTiming(r *reader, settings *fastjson.Value) routing.PurgeTiming {
	r.millis(settings, "extra.obey_after", 0) // has no effect, but is validated
	return routing.PurgeTiming{Propagation: r.millis(settings, "extra.purge_takes", 0)}
}
