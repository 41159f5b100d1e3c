package standin

import (
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Relay stands between routers: each is reached by others at an address of the relay's, which passes datagrams on to it,
// or loses them.
type Relay struct {
	mu     sync.Mutex
	chance *rand.Rand
	loss   float64
	doors  []*net.UDPConn
	Passed atomic.Int64
	Lost   atomic.Int64
	Over   atomic.Int64 // datagrams over 256 bytes: there must be none
}

// NewRelay makes a relay that loses a share of what it is given.
func NewRelay(loss float64, seed int64) *Relay {
	return &Relay{chance: rand.New(rand.NewSource(seed)), loss: loss}
}

// Lose sets the share that is lost.
func (r *Relay) Lose(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

// Door opens an address that leads to a router's.
func (r *Relay) Door(to netip.AddrPort) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(to.Addr(), 0)))
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.doors = append(r.doors, conn)
	go func() {
		b := make([]byte, 2048)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			r.mu.Lock()
			lost := r.chance.Float64() < r.loss
			r.mu.Unlock()
			if n > 256 {
				r.Over.Add(1)
			}
			if lost {
				r.Lost.Add(1)
				continue
			}
			r.Passed.Add(1)
			_, _ = conn.WriteToUDPAddrPort(b[:n], to)
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// Close ends the relay.
func (r *Relay) Close() {
	for _, c := range r.doors {
		_ = c.Close()
	}
}

// FreeUDP finds an address that nobody listens at.
func FreeUDP() (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// FreeTCP finds an address that nobody listens at.
func FreeTCP() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
