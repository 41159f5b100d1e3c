package deployment

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"threadrun/routing"
)

// Names maps names in the settings to the ids that package routing uses, and contains the settings that packages other
// than routing use. It is immutable after NewRouter.
type Names struct {
	Zones             map[string]routing.ZoneID
	ClassNames        []string // indexed by routing.ClassID
	Classes           []routing.Class
	OwnZone           routing.ZoneID
	OwnZoneName       string
	StreamKBPerSecond float64        // rate at which one answer is sent; 0: unknown
	MaxTimeout        routing.Micros // longest timeout of a class's requests; 0: unknown
	classTimeouts     []routing.Micros
	classIDs          map[string]routing.ClassID
	tenantIDs         map[string]routing.TenantID
	parentKind        string // kinds of endpoints as named in the endpoint list; empty: none
	originKind        string
}

// Class returns the id of the class with a name, and false if there is none.
func (n *Names) Class(name []byte) (routing.ClassID, bool) {
	id, ok := n.classIDs[string(name)]
	return id, ok
}

// unstatedTimeout is the longest timeout of a request if the settings state none for any class.
const unstatedTimeout routing.Micros = 60_000_000

// LongestTimeout returns the longest timeout that a request of a class has. If the settings state none for the class,
// it is that of any class, or unstatedTimeout.
func (n *Names) LongestTimeout(class routing.ClassID) routing.Micros {
	switch {
	case n.classTimeouts[class] > 0:
		return n.classTimeouts[class]
	case n.MaxTimeout > 0:
		return n.MaxTimeout
	}
	return unstatedTimeout
}

// Tenant returns the id of the tenant with a name, or routing.NoTenant if the settings do not name it.
func (n *Names) Tenant(name []byte) routing.TenantID {
	id, ok := n.tenantIDs[string(name)]
	if !ok {
		return routing.NoTenant
	}
	return id
}

// Zone returns the id of the zone with a name, or -1 if the settings do not name it.
func (n *Names) Zone(name string) routing.ZoneID {
	id, ok := n.Zones[name]
	if !ok {
		return -1
	}
	return id
}

// Tier returns the tier of endpoints of a kind. Endpoints that are neither parents nor origins are edge caches.
func (n *Names) Tier(kind string) routing.Tier {
	switch kind {
	case "":
		return routing.Edge
	case n.parentKind:
		return routing.Parent
	case n.originKind:
		return routing.Origin
	}
	return routing.Edge
}

// readNames reads the names and kinds that the settings define. Ids are indexes into the lists of names.
func readNames(r *reader, settings *fastjson.Value) *Names {
	n := &Names{
		Zones:     map[string]routing.ZoneID{},
		classIDs:  map[string]routing.ClassID{},
		tenantIDs: map[string]routing.TenantID{},
	}
	for i, zone := range r.array(settings, "failure_domains", true) {
		n.Zones[stringOf(zone)] = routing.ZoneID(i)
	}
	kinds := r.array(settings, "kinds", true)
	n.parentKind = readKind(r, settings, "extra.mid_kind", kinds)
	n.originKind = readKind(r, settings, "extra.root_kind", kinds)
	for i, class := range r.array(settings, "lanes", true) {
		name := string(class.GetStringBytes("name"))
		if name == "" || strings.ContainsAny(name, " ,=\r\n") {
			r.fail(fmt.Sprintf("lanes[%d].name", i),
				fmt.Sprintf("is %q, must not be empty or contain spaces, commas or '='", name))
		}
		timeout := micros(class.GetFloat64("deadline"))
		n.classTimeouts = append(n.classTimeouts, timeout)
		n.MaxTimeout = max(n.MaxTimeout, timeout)
		n.classIDs[name] = routing.ClassID(i)
		n.ClassNames = append(n.ClassNames, name)
	}
	for i, tenant := range r.array(settings, "tenants", false) {
		n.tenantIDs[string(tenant.GetStringBytes("name"))] = routing.TenantID(i)
	}
	return n
}

// readKind reads an index into the list of kinds, and returns the kind at it. It returns "" if the key is absent or the
// index is out of range.
func readKind(r *reader, settings *fastjson.Value, path string, kinds []*fastjson.Value) string {
	i := int(r.number(settings, path, -1, -1))
	if i < 0 || i >= len(kinds) {
		return ""
	}
	return stringOf(kinds[i])
}
