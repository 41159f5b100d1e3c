package testserver

import (
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDatagram     = 256 // maximum size of a router's datagram, in bytes
	relayBufferSize = 2048
)

// Relay forwards datagrams between routers, and may lose, duplicate or delay them. The other routers reach each
// router at an address of the relay. mu guards the fields from random to partitions.
type Relay struct {
	mu          sync.Mutex
	random      *rand.Rand
	loss        float64
	duplication float64       // share of datagrams that are forwarded twice
	maxDelay    time.Duration // maximum random delay of each datagram; datagrams may be reordered
	partitions  map[[2]netip.AddrPort]bool
	sockets     []*net.UDPConn
	Forwarded   atomic.Int64
	Lost        atomic.Int64
	Oversized   atomic.Int64 // datagrams longer than maxDatagram
}

// NewRelay returns a Relay that loses a share of the datagrams.
func NewRelay(loss float64, seed int64) *Relay {
	return &Relay{random: rand.New(rand.NewSource(seed)), loss: loss, partitions: map[[2]netip.AddrPort]bool{}}
}

// SetFaults duplicates a share of the datagrams, and delays each by a random time up to maxDelay.
func (r *Relay) SetFaults(duplication float64, maxDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duplication = duplication
	r.maxDelay = maxDelay
}

// Partition sets whether all datagrams from one router to another are lost. Routers are identified by the addresses
// where they listen. The other direction is not affected.
func (r *Relay) Partition(from, to netip.AddrPort, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions[[2]netip.AddrPort{from, to}] = on
}

// fate returns how many copies of a datagram are forwarded, and after what delay.
func (r *Relay) fate(from, to netip.AddrPort) (copies int, delay time.Duration) {
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
		delay = time.Duration(r.random.Int63n(int64(r.maxDelay)))
	}
	return copies, delay
}

// Forward opens an address whose datagrams are forwarded to another address until Close, and returns it.
func (r *Relay) Forward(to netip.AddrPort) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(to.Addr(), 0)))
	if err != nil {
		return netip.AddrPort{}, err
	}
	r.sockets = append(r.sockets, conn)
	go r.forwardLoop(conn, to)
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// forwardLoop forwards datagrams until the socket is closed.
func (r *Relay) forwardLoop(conn *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n > maxDatagram {
			r.Oversized.Add(1)
		}
		copies, delay := r.fate(from, to)
		if copies == 0 {
			r.Lost.Add(1)
			continue
		}
		r.Forwarded.Add(1)
		for range copies {
			if delay == 0 {
				_, _ = conn.WriteToUDPAddrPort(buffer[:n], to)
				continue
			}
			delayed := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(delay, func() { _, _ = conn.WriteToUDPAddrPort(delayed, to) })
		}
	}
}

// Close closes all addresses.
func (r *Relay) Close() {
	for _, c := range r.sockets {
		_ = c.Close()
	}
}
