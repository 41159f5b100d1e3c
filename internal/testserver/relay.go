package testserver

import (
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay stands between routers: each is reached by others at an address of the relay's, which passes datagrams on to it,
// or loses them.
type Relay struct {
	mu     sync.Mutex
	chance *rand.Rand
	loss   float64
	twice  float64       // share that is passed on twice
	late   time.Duration // each is held back by up to so long, and so overtaken
	cut    map[[2]netip.AddrPort]bool
	doors  []*net.UDPConn
	Passed atomic.Int64
	Lost   atomic.Int64
	Over   atomic.Int64 // datagrams over 256 bytes: there must be none
}

// NewRelay makes a relay that loses a share of what it is given.
func NewRelay(loss float64, seed int64) *Relay {
	return &Relay{chance: rand.New(rand.NewSource(seed)), loss: loss, cut: map[[2]netip.AddrPort]bool{}}
}

// Trouble has a share of what is passed on go twice, and all of it be held back by up to a time, each by itself.
func (r *Relay) Trouble(twice float64, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.twice, r.late = twice, late
}

// Cut has nothing pass from one router to another, by where they listen, or has it pass again. The other way is not touched.
func (r *Relay) Cut(from, to netip.AddrPort, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[[2]netip.AddrPort{from, to}] = on
}

// fate says what becomes of a datagram: how often it is passed on, and how late.
func (r *Relay) fate(from, to netip.AddrPort) (copies int, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chance.Float64() < r.loss || r.cut[[2]netip.AddrPort{from, to}] {
		return 0, 0
	}
	copies = 1
	if r.chance.Float64() < r.twice {
		copies = 2
	}
	if r.late > 0 {
		late = time.Duration(r.chance.Int63n(int64(r.late)))
	}
	return copies, late
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
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			if n > 256 {
				r.Over.Add(1)
			}
			copies, late := r.fate(from, to)
			if copies == 0 {
				r.Lost.Add(1)
				continue
			}
			r.Passed.Add(1)
			for range copies {
				if late == 0 {
					_, _ = conn.WriteToUDPAddrPort(b[:n], to)
					continue
				}
				held := append([]byte(nil), b[:n]...)
				time.AfterFunc(late, func() { _, _ = conn.WriteToUDPAddrPort(held, to) })
			}
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
