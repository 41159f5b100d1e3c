package testserver

import (
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay stands between routers: each is reached by others at an address of the relay's, which passes datagrams on to
// it, or loses them.
type Relay struct {
	mu          sync.Mutex
	random      *rand.Rand
	loss        float64
	duplication float64       // share that is passed on twice
	maxDelay    time.Duration // each is held back by up to so long, and so overtaken
	partitions  map[[2]netip.AddrPort]bool
	sockets     []*net.UDPConn
	Forwarded   atomic.Int64
	Lost        atomic.Int64
	Oversized   atomic.Int64 // datagrams over 256 bytes: there must be none
}

// NewRelay makes a relay that loses a share of what it is given.
func NewRelay(loss float64, seed int64) *Relay {
	return &Relay{random: rand.New(rand.NewSource(seed)), loss: loss, partitions: map[[2]netip.AddrPort]bool{}}
}

// SetFaults has a share of what is passed on go twice, and all of it be held back by up to a time, each by itself.
func (r *Relay) SetFaults(twice float64, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duplication, r.maxDelay = twice, late
}

// Partition has nothing pass from one router to another, by where they listen, or has it pass again. The other way is
// not touched.
func (r *Relay) Partition(from, to netip.AddrPort, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[[2]netip.AddrPort{from, to}] = on
}

// fate says what becomes of a datagram: how often it is passed on, and how late.
func (r *Relay) fate(from, to netip.AddrPort) (copies int, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.Float64() < r.loss || r.partitions[[2]netip.AddrPort{from, to}] {
		return 0, 0
	}
	copies = 1
	if r.random.Float64() < r.duplication {
		copies = 2
	}
	if r.maxDelay > 0 {
		late = time.Duration(r.random.Int63n(int64(r.maxDelay)))
	}
	return copies, late
}

// Forward opens an address that leads to a router's.
func (r *Relay) Forward(to netip.AddrPort) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(to.Addr(), 0)))
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.sockets = append(r.sockets, conn)
	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			if n > 256 {
				r.Oversized.Add(1)
			}
			copies, late := r.fate(from, to)
			if copies == 0 {
				r.Lost.Add(1)
				continue
			}
			r.Forwarded.Add(1)
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
	for _, c := range r.sockets {
		_ = c.Close()
	}
}
