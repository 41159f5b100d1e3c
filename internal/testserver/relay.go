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
	maxDatagramSize = 256 // maximum size of a router's datagram, in bytes
	relayBufferSize = 2048
)

// Relay forwards datagrams between routers, and may lose, duplicate or delay them. Each router is reached by the
// others at an address of the relay.
type Relay struct {
	mu          sync.Mutex // guards the fields from random to partitions
	random      *rand.Rand
	loss        float64
	duplication float64                    // share of datagrams that are forwarded twice
	maxDelay    time.Duration              // maximum random delay of each datagram; datagrams may be reordered
	partitions  map[[2]netip.AddrPort]bool // by source and destination
	sockets     []*net.UDPConn
	Forwarded   atomic.Int64 // datagrams forwarded; a duplicated one counts once
	Lost        atomic.Int64 // datagrams lost at random or in a partition
	Oversized   atomic.Int64 // datagrams longer than maxDatagramSize
}

// NewRelay returns a Relay that loses the given share of the datagrams, at random.
func NewRelay(loss float64, seed int64) *Relay {
	return &Relay{random: rand.New(rand.NewSource(seed)), loss: loss, partitions: map[[2]netip.AddrPort]bool{}}
}

// SetFaults makes the relay duplicate the given share of the datagrams, and delay each by a random time below
// maxDelay.
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

// chooseFaults chooses how many copies of a datagram are forwarded, and after what delay.
func (r *Relay) chooseFaults(from, to netip.AddrPort) (copies int, delay time.Duration) {
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

// Forward opens and returns an address of the relay. Datagrams sent to it are forwarded to the given address until
// Close. All calls must precede the first call of Close, and must not be concurrent.
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
		if n > maxDatagramSize {
			r.Oversized.Add(1)
		}
		copies, delay := r.chooseFaults(from, to)
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

// Close closes all addresses of the relay.
func (r *Relay) Close() {
	for _, c := range r.sockets {
		_ = c.Close()
	}
}
