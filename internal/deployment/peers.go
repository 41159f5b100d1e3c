package deployment

import (
	"fmt"
	"net/netip"

	"github.com/valyala/fastjson"
)

// Peers configures the communication with other routers. All of it is optional.
type Peers struct {
	Listen              netip.AddrPort   // address where this router receives datagrams
	Known               []netip.AddrPort // addresses of all routers, including this one
	Advertised          netip.AddrPort   // address at which peers reach this router
	PeersAllowed        bool             // routers may send each other datagrams
	HealthChecksAllowed bool             // routers may send health checks to caches
}

// Peers reads the configuration of the communication with other routers.
func (f *File) Peers() (Peers, error) {
	r := &reader{}
	peers := Peers{}
	if listen := f.root.Get("peer_listen"); !isNull(listen) {
		peers.Listen = readAddrPort(r, "peer_listen", listen)
	}
	for i, peer := range r.array(f.root, "peers", false) {
		peers.Known = append(peers.Known, readAddrPort(r, fmt.Sprintf("peers[%d]", i), peer))
	}
	if lookup(f.Settings, "me") != nil && len(peers.Known) > 0 {
		ownIndex := int(r.number(f.Settings, "me", 0, 0))
		if ownIndex < len(peers.Known) {
			peers.Advertised = peers.Known[ownIndex]
		} else {
			r.fail("settings.me", fmt.Sprintf("is %d, but 'peers' has only %d entries", ownIndex, len(peers.Known)))
		}
	}
	peers.PeersAllowed = r.bool(f.Settings, "limits.peers")
	peers.HealthChecksAllowed = r.bool(f.Settings, "limits.may_probe")
	return peers, f.Wrap(r.err)
}

// readAddrPort reads a numeric address with a port. Host names are not resolved.
func readAddrPort(r *reader, key string, v *fastjson.Value) netip.AddrPort {
	text, err := v.StringBytes()
	if err == nil {
		var address netip.AddrPort
		address, err = netip.ParseAddrPort(string(text))
		if err == nil {
			return address
		}
	}
	r.fail(key, fmt.Sprintf("is %q, not a numeric address with a port", text))
	return netip.AddrPort{}
}
