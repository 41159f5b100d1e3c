package backgroundwork

import (
	"net/netip"
	"reflect"
	"testing"

	"threadrun/cluster/membership"
	"threadrun/internal/operator"
)

var (
	deployedListen  = netip.MustParseAddrPort("10.0.0.1:100")
	advertised      = netip.MustParseAddrPort("10.0.0.1:101")
	operatorListen  = netip.MustParseAddrPort("10.0.0.1:102")
	operatorAddress = netip.MustParseAddrPort("10.0.0.1:103")
	localAddress    = netip.MustParseAddrPort("10.0.0.1:104")
	firstPeer       = netip.MustParseAddrPort("10.0.0.2:100")
	secondPeer      = netip.MustParseAddrPort("10.0.0.3:100")
)

// The operator's addresses must have precedence over the deployment's. Without any listen address, a router must not
// start.
func TestAddresses(t *testing.T) {
	none := netip.AddrPort{}
	for _, test := range []struct {
		name       string
		membership operator.Membership
		addresses  PeerAddresses
		listen     netip.AddrPort
		own        netip.AddrPort
		fails      bool
	}{
		{"deployment", operator.Membership{}, PeerAddresses{Listen: deployedListen}, deployedListen, localAddress, false},
		{"advertised", operator.Membership{}, PeerAddresses{Listen: deployedListen, Advertised: advertised},
			deployedListen, advertised, false},
		{"operator listens elsewhere", operator.Membership{Listen: operatorListen},
			PeerAddresses{Listen: deployedListen, Advertised: advertised}, operatorListen, localAddress, false},
		{"operator gives the address", operator.Membership{Address: operatorAddress},
			PeerAddresses{Listen: deployedListen, Advertised: advertised}, deployedListen, operatorAddress, false},
		{"no address", operator.Membership{}, PeerAddresses{Advertised: advertised}, none, none, true},
	} {
		file := &operator.File{Membership: test.membership}
		addresses, err := resolveAddresses(file, test.addresses)
		if (err != nil) != test.fails {
			t.Errorf("%s: error %v, want an error: %v", test.name, err, test.fails)
		}
		if err != nil {
			continue
		}
		if addresses.Listen != test.listen {
			t.Errorf("%s: listens at %v, want %v", test.name, addresses.Listen, test.listen)
		}
		if own := ownAddress(file, addresses, localAddress); own != test.own {
			t.Errorf("%s: own address %v, want %v", test.name, own, test.own)
		}
	}
}

// The operator's peers must replace the deployment's known routers. So must seeds, whose node IDs must be left unknown.
func TestInitialPeers(t *testing.T) {
	known := []membership.Peer{
		{ID: operator.NodeIDOf(firstPeer), Address: firstPeer},
		{ID: operator.NodeIDOf(secondPeer), Address: secondPeer},
	}
	for _, test := range []struct {
		name       string
		membership operator.Membership
		want       []membership.Peer
	}{
		{"deployment", operator.Membership{}, known},
		{"operator's peers", operator.Membership{Peers: []netip.AddrPort{secondPeer}}, known[1:]},
		{"seeds", operator.Membership{Seeds: []netip.AddrPort{firstPeer}}, []membership.Peer{{Address: firstPeer}}},
	} {
		file := &operator.File{Membership: test.membership}
		addresses, err := resolveAddresses(file,
			PeerAddresses{Listen: deployedListen, Known: []netip.AddrPort{firstPeer, secondPeer}})
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if got := initialPeers(file, addresses); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: initial peers %v, want %v", test.name, got, test.want)
		}
	}
}

// Each feature that needs the control goroutine must enable background work by itself.
func TestEnabled(t *testing.T) {
	for _, test := range []struct {
		name string
		file operator.File
		want bool
	}{
		{"nothing", operator.File{}, false},
		{"membership", operator.File{Membership: operator.Membership{Enabled: true}}, true},
		{"refresh", operator.File{Refresh: operator.Refresh{Enabled: true}}, true},
		{"health checks", operator.File{HealthChecks: operator.HealthChecks{Enabled: true}}, true},
	} {
		if got := Enabled(&test.file); got != test.want {
			t.Errorf("%s: enabled is %v, want %v", test.name, got, test.want)
		}
	}
}
