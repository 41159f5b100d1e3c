package cluster

import (
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

// Values of the first byte of a datagram, which says which core the datagram is for. Full nodes also use those of
// node.Kind.
const (
	kindMembership = 1
	kindLease      = 2
)

const (
	// socketQueueLimit is the number of datagrams that are kept for a paused router. It is what the default
	// receive buffer of a socket holds: 208 KB, of which a short datagram takes 768 bytes.
	socketQueueLimit = 277
	// receivedPerTick is the number of kept datagrams that a resumed router receives before each tick, as package
	// peers does.
	receivedPerTick = 64
)

// Node is one simulated router: its cores, its clock, and the leases that it holds.
type Node struct {
	Address         netip.AddrPort
	Weight          uint16
	Membership      *membership.Members
	Leases          *lease.Manager
	Core            *node.Node // nil unless Cluster.FullNodes
	Running         bool
	Paused          bool // suspended like a process after SIGSTOP; meaningful while Running
	FalseDeaths     int  // how often this router has declared a reachable router dead
	DatagramsSent   uint64
	BytesSent       uint64
	LargestDatagram int // bytes

	cluster     *Cluster
	index       int
	starts      int    // number of starts so far; callbacks from before the last start do nothing
	clockOffset Micros // the router's clock minus virtual time
	held        map[lease.ID]bool
	sortedHeld  []lease.ID // held, by id
	heldSorted  bool       // sortedHeld agrees with held
	socketQueue []event    // datagrams that have arrived but not been received, oldest first
}

// clock returns the time of the router's own clock, whose offset differs from router to router.
func (n *Node) clock() Micros { return n.cluster.Now + n.clockOffset }

// active reports whether the router runs and is not paused.
func (n *Node) active() bool { return n.Running && !n.Paused }

// ID returns the router's node id, which is derived from its address.
func (n *Node) ID() membership.NodeID { return membership.NodeID(hash.String(n.Address.String())) }

// seesCurrent reports whether the router's view contains another router as present, in the current incarnation.
func (n *Node) seesCurrent(other *Node) bool {
	m, ok := n.Membership.Get(other.ID())
	return ok && m.State.Present() && m.Incarnation == other.Membership.Self().Incarnation
}

// Start starts a router that is not running. It keeps only its node id and address from its last run.
func (n *Node) Start() {
	c := n.cluster
	n.starts++
	n.Running = true
	n.Paused = false
	n.socketQueue = nil // a new process has a new socket
	n.held = map[lease.ID]bool{}
	n.sortedHeld = nil
	self := membership.Identity{
		ID:          n.ID(),
		Address:     n.Address,
		Zone:        1,
		Weight:      n.Weight,
		Incarnation: membership.Incarnation(n.clock() / clock.Millisecond),
	}
	out := output{n}
	seed := uint32(c.random.Uint64())
	if c.FullNodes {
		n.Core = node.New(n.clock(), self, coreOutput{membershipOutput{out}}, seed, c.timing, c.suspicion, c.Features)
		n.Membership = n.Core.Membership
		if c.Workload != nil {
			c.Workload.routerStarted(n)
		}
	} else {
		n.Membership = membership.New(n.clock(), self, membershipOutput{out}, seed, c.timing, c.suspicion)
	}
	n.Leases = lease.New(n.clock(), n.Membership.Self(), leaseOutput{out}, seed+1, c.leaseCounts.Total(), c.balance)
	n.Membership.AddPeers(c.knownPeers())
	n.tick(n.starts)
}

// knownPeers returns the peers that a starting router knows: all with their ids, or the seed nodes by address alone.
func (c *Cluster) knownPeers() []membership.Peer {
	var peers []membership.Peer
	for i, other := range c.Nodes {
		switch {
		case c.seedNodes == 0:
			peers = append(peers, membership.Peer{ID: other.ID(), Address: other.Address})
		case i < c.seedNodes:
			peers = append(peers, membership.Peer{Address: other.Address})
		}
	}
	return peers
}

// tick runs the cores' ticks and the due tasks of the leases in each tickInterval, until the router ends or restarts.
func (n *Node) tick(start int) {
	if !n.Running || start != n.starts {
		return
	}
	n.cluster.At(n.cluster.Now+tickInterval, func() { n.tick(start) })
	if n.Paused {
		return
	}
	n.tickCores()
	n.runTasks()
}

// tickCores passes the next of the kept datagrams, and then the time, to the router's cores.
func (n *Node) tickCores() {
	n.receiveQueued()
	now := n.clock()
	if n.Core != nil {
		n.Core.Tick(now)
	} else {
		n.Membership.Tick(now)
	}
	n.Leases.Tick(now, n.Membership.Contact())
}

// receive handles a datagram that arrives at the router's socket. Routers that don't run drop it. A paused router
// keeps it, and so does a resumed one that has not received all earlier datagrams, because a socket is read in order.
func (n *Node) receive(from netip.AddrPort, datagram []byte) {
	switch {
	case !n.Running:
	case n.Paused || len(n.socketQueue) > 0:
		n.queueDatagram(from, datagram)
	default:
		n.handle(from, datagram)
	}
}

// handle passes a datagram to the core that it is for.
func (n *Node) handle(from netip.AddrPort, datagram []byte) {
	switch {
	case len(datagram) == 0:
	case n.Core != nil && n.Core.Receive(n.clock(), node.Kind(datagram[0]), from, datagram[1:]):
	case datagram[0] == kindMembership:
		_ = n.Membership.Receive(n.clock(), from, datagram[1:])
	default:
		_ = n.Leases.Receive(n.clock(), from, datagram[1:])
	}
}

// queueDatagram keeps a copy of a datagram until the router receives it, as the socket of a stopped process does.
// Datagrams beyond socketQueueLimit are dropped.
func (n *Node) queueDatagram(from netip.AddrPort, datagram []byte) {
	if len(n.socketQueue) < socketQueueLimit {
		kept := append([]byte(nil), datagram...)
		n.socketQueue = append(n.socketQueue, event{from: n.cluster.indexOf(from), datagram: kept})
	}
}

// receiveQueued handles the oldest kept datagrams, at most receivedPerTick.
func (n *Node) receiveQueued() {
	batch := n.socketQueue[:min(len(n.socketQueue), receivedPerTick)]
	n.socketQueue = n.socketQueue[len(batch):]
	for _, e := range batch {
		n.handle(n.cluster.Nodes[e.from].Address, e.datagram)
	}
}

// Kill ends a router without notice to the others, like SIGKILL.
func (n *Node) Kill() {
	if n.Running {
		n.cluster.Leases.nodeKilled(n.index, n.cluster.Now)
	}
	n.Running = false
}

// Leave shuts a router down gracefully. The router announces that it leaves, hands its leases over, and ends when it
// holds none or when the timeout has passed.
func (n *Node) Leave(timeout Micros) {
	if n.Core != nil {
		n.Core.Leave(n.clock())
	} else {
		n.Membership.Leave(n.clock())
	}
	n.Leases.MemberChanged(n.clock(), n.Membership.Self())
	n.scheduleShutdown(n.starts, n.cluster.Now+timeout)
}

// scheduleShutdown checks every tickInterval whether a leaving router holds no leases or has reached its deadline,
// and ends it then.
func (n *Node) scheduleShutdown(start int, deadline Micros) {
	n.cluster.At(n.cluster.Now+tickInterval, func() {
		switch {
		case start != n.starts || !n.Running:
		case n.Leases.HeldCount() == 0 || n.cluster.Now >= deadline:
			n.Membership.Shutdown(n.clock())
			n.Running = false
		default:
			n.scheduleShutdown(start, deadline)
		}
	})
}

// Pause suspends a router, like SIGSTOP.
func (n *Node) Pause() { n.Paused = true }

// Resume continues a paused router, which ticks at once. Like a process after SIGCONT, it finds the datagrams in its
// socket that arrived during the pause, and receives them before any later one.
func (n *Node) Resume() {
	n.Paused = false
	n.tickCores()
}

// ShiftClock moves a router's clock forward, or back if by is negative.
func (n *Node) ShiftClock(by Micros) { n.clockOffset += by }
