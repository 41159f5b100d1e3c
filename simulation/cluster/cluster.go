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

// LogFunc is called with each log line of a router, which is given by its index.
type LogFunc func(node int, message string, attrs []slog.Attr)

// Cluster is a simulated cluster of routers. Its exported fields may be set before the first event.
type Cluster struct {
	Now     Micros
	Network Network
	Nodes   []*Node
	Leases  *LeaseAudit
	// Blocked reports whether the link from one router to another is down; nil: all links are up.
	Blocked func(from, to int) bool
	// DatagramOverhead is what the transport adds to each datagram, in bytes.
	DatagramOverhead int
	Log              LogFunc
	// FullNodes makes routers run all cores of a node, not only membership and leases.
	FullNodes bool
	Features  node.Features
	ShardMaps *ShardMapAudit // nil: not audited
	Workload  *Workload      // nil: no requests
	Queries   *QueryAudit    // nil: no queries

	random      random.Source
	events      eventQueue
	scheduled   uint64 // events so far; orders those of one time
	partitions  lease.Partitions
	seedNodes   int // routers that a starting router knows; 0: all
	timing      membership.Timing
	suspicion   membership.Suspicion
	balance     lease.Balance
	freeBuffers [][]byte
}

// New returns a cluster of routers that start within one tick. With seedNodes above 0 each router knows only that many
// routers at its start and learns of the others from them. Each lease has one task per interval.
func New(
	seed uint32, routers, seedNodes int, partitions lease.Partitions, network Network, interval Micros,
) *Cluster {
	c := &Cluster{
		Network:    network,
		Leases:     newLeaseAudit(partitions.Count(), interval),
		random:     random.Source{Seed: seed},
		partitions: partitions,
		seedNodes:  seedNodes,
		timing:     membership.DefaultTiming,
		suspicion:  membership.DefaultSuspicion,
		balance:    lease.DefaultBalance,
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

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(index >> 8), byte(index)}), 7946)
}

// indexOf returns the index of the router with an address, or -1.
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

// canReach reports whether router b is active and datagrams pass both ways between it and router a.
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
			if a != b && a.Running && b.Running && !a.hasCurrent(b) {
				return false
			}
		}
	}
	return true
}

// HolderCounts counts, for each lease, the active routers that would run its tasks now.
func (c *Cluster) HolderCounts() []int {
	counts := make([]int, c.partitions.Count())
	for _, n := range c.Nodes {
		if !n.active() {
			continue
		}
		for id := range counts {
			if _, held := n.Leases.Holds(lease.ID(id), n.clock()); held {
				counts[id]++
			}
		}
	}
	return counts
}

// HeldCounts counts the leases of each running router.
func (c *Cluster) HeldCounts() []int {
	var counts []int
	for _, n := range c.Nodes {
		if n.Running {
			counts = append(counts, n.Leases.HeldCount())
		}
	}
	return counts
}
