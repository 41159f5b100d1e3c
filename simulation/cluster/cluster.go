package cluster

import (
	"log/slog"
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

const (
	tickInterval   = 20 * clock.Millisecond
	maxClockOffset = 3600 * clock.Second
)

// LogFunc is called with each log line of a router. node is the index of the router in Cluster.Nodes.
type LogFunc func(node int, message string, attrs []slog.Attr)

// Cluster is a simulated cluster of routers. Its exported fields may be set before the first event; Blocked and
// Network may also be changed between events.
type Cluster struct {
	Now     Micros // virtual time since the start of the simulation
	Network Network
	Nodes   []*Node
	Leases  *LeaseAudit
	// Blocked reports whether the link from one router to another, given by their indexes, is down. Nil means that all
	// links are up.
	Blocked func(from, to int) bool
	// DatagramOverhead is the number of bytes that the transport adds to each datagram.
	DatagramOverhead int
	Log              LogFunc
	// FullNodes makes routers run all cores of package node, with the optional ones that Features enables. Otherwise
	// they run only membership and leases.
	FullNodes bool
	Features  node.Features
	ShardMaps *ShardMapAudit // nil: not audited
	Workload  *Workload      // nil: no requests
	Queries   *QueryAudit    // nil: no queries

	random      random.Source
	events      eventQueue
	eventCount  uint64 // events scheduled so far; the order of events at the same time
	leaseCounts lease.Counts
	seedNodes   int // how many of the first routers a starting router knows; 0: all
	timing      membership.Timing
	suspicion   membership.Suspicion
	balance     lease.Balance
	freeBuffers [][]byte
}

// New returns a cluster of routers that start at random times within the first tick interval. If seedNodes is above
// 0, a starting router knows only the addresses of the first seedNodes routers and learns of the others from them;
// otherwise it knows all routers. The holder of a lease runs one task for it in each interval.
func New(
	seed uint32, routers, seedNodes int, leaseCounts lease.Counts, network Network, interval Micros,
) *Cluster {
	c := &Cluster{
		Network:     network,
		Leases:      newLeaseAudit(leaseCounts.Total(), interval),
		random:      random.Source{Seed: seed},
		leaseCounts: leaseCounts,
		seedNodes:   seedNodes,
		timing:      membership.DefaultTiming,
		suspicion:   membership.DefaultSuspicion,
		balance:     lease.DefaultBalance,
	}
	for i := range routers {
		c.Nodes = append(c.Nodes, &Node{
			cluster:     c,
			index:       i,
			Address:     addressOf(i),
			Weight:      1,
			clockOffset: 100*maxClockOffset + Micros(c.random.IntN(int(maxClockOffset))),
		})
	}
	for _, n := range c.Nodes {
		c.At(Micros(c.random.IntN(int(tickInterval))), n.Start)
	}
	return c
}

// addressOf returns the address of a router, which encodes its index: 127.77.0.0 plus the index.
func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(index >> 8), byte(index)}), 7946)
}

// indexOf returns the index of the router with an address, or -1 if no router has it.
func (c *Cluster) indexOf(address netip.AddrPort) int {
	b := address.Addr().As4()
	if b[0] != 127 || b[1] != 77 {
		return -1
	}
	index := int(b[2])<<8 | int(b[3])
	if index >= len(c.Nodes) {
		return -1
	}
	return index
}

// canReach reports whether router b is active and the links between routers a and b are up in both directions.
func (c *Cluster) canReach(a, b int) bool {
	if !c.Nodes[b].active() {
		return false
	}
	return c.Blocked == nil || !c.Blocked(a, b) && !c.Blocked(b, a)
}

// ViewsConverged reports whether each running router sees all other running routers as present, in their current
// incarnation.
func (c *Cluster) ViewsConverged() bool {
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if a != b && a.Running && b.Running && !a.seesCurrent(b) {
				return false
			}
		}
	}
	return true
}

// HolderCounts returns, for each lease, the number of active routers that consider themselves its holder now.
func (c *Cluster) HolderCounts() []int {
	counts := make([]int, c.leaseCounts.Total())
	for _, n := range c.Nodes {
		if !n.active() {
			continue
		}
		for id := range counts {
			if _, held := n.Leases.MayRun(lease.ID(id), n.clock()); held {
				counts[id]++
			}
		}
	}
	return counts
}

// HeldCounts returns the number of leases that each running router holds. Routers that don't run have no element.
func (c *Cluster) HeldCounts() []int {
	var counts []int
	for _, n := range c.Nodes {
		if n.Running {
			counts = append(counts, n.Leases.HeldCount())
		}
	}
	return counts
}
