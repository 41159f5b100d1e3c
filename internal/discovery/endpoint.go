package discovery

import (
	"net/netip"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
)

// Endpoint is a cache, a parent or the origin, as listed by the discovery server.
type Endpoint struct {
	Name              string
	Address           string // host:port; may be empty if the endpoint is removed
	Zone              string
	Kind              string // parent, origin or edge cache, in the names of the router's settings
	Cell              int    // see routing.CellID
	State             State
	Weight            float64 // relative capacity; 0: unknown
	StartedUnixMillis int64   // Unix time at which its process started; 0: long ago
}

// State is the state of an endpoint according to the endpoint list.
type State uint8

// The states of an endpoint.
const (
	Up State = iota
	Draining
	Removed
)

// parseEndpoints parses an endpoint list. It logs and skips invalid endpoints, so that one bad entry does not block
// the others.
func parseEndpoints(v *fastjson.Value, log *logrus.Logger) ([]Endpoint, error) {
	if targets := v.Get(fieldTargets); targets == nil || targets.Type() != fastjson.TypeArray {
		return nil, errNoTargets
	}
	var list []Endpoint
	for _, target := range v.GetArray(fieldTargets) {
		endpoint, ok := parseEndpoint(target)
		if !ok {
			log.WithFields(logrus.Fields{
				"name":    endpoint.Name,
				"state":   string(target.GetStringBytes(fieldState)),
				"address": endpoint.Address,
			}).Warn("discovery: endpoint skipped")
			continue
		}
		list = append(list, endpoint)
	}
	return list, nil
}

// parseEndpoint parses one endpoint and reports whether it is valid. A removed endpoint needs only a name; any other
// one needs a name that fits the cache protocol and a numeric address with a port.
func parseEndpoint(v *fastjson.Value) (e Endpoint, ok bool) {
	e = Endpoint{
		Name:              string(v.GetStringBytes(fieldName)),
		Address:           string(v.GetStringBytes(fieldAddress)),
		Zone:              string(v.GetStringBytes(fieldZone)),
		Kind:              string(v.GetStringBytes(fieldKind)),
		Cell:              v.GetInt(fieldCell),
		Weight:            v.GetFloat64(fieldWeight),
		StartedUnixMillis: int64(v.GetFloat64(fieldStarted)),
	}
	_, err := netip.ParseAddrPort(e.Address)
	usable := err == nil && isPlainName(e.Name)
	switch string(v.GetStringBytes(fieldState)) {
	case stateUp:
		return e, usable
	case stateDraining:
		e.State = Draining
		return e, usable
	case stateRemoved:
		e.State = Removed
		return e, e.Name != ""
	}
	return e, false
}

// isPlainName reports whether a name can be a value in the cache protocol: printable ASCII without the characters that
// separate values there.
func isPlainName(name string) bool {
	for _, c := range []byte(name) {
		if c <= ' ' || c == ',' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return name != ""
}
