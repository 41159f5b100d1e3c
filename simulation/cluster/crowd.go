// Package crowd plays many routers' membership and shared duties on virtual time: a model of the routers of a tier and of
// the way between them, with its losses, for experiments at sizes that sockets do not reach. The cores are the real ones;
// the network, the clocks and the work are the model's. One seed plays one history.
package cluster

import (
	"container/heap"
	"fmt"
	"net/netip"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/internal/random"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Way is how datagrams travel between routers.
type Way struct {
	Loss, Doubled float64 // shares of datagrams, each way by itself
	Least, Most   Micros
	Stray         float64 // share that takes up to StrayMost longer, and so is overtaken
	StrayMost     Micros
}

// OrdinaryWay is a network of some milliseconds with the given loss.
func OrdinaryWay(loss float64) Way {
	return Way{Loss: loss, Doubled: 0.01, Least: clock.Millisecond, Most: 10 * clock.Millisecond, Stray: 0.02,
		StrayMost: 60 * clock.Millisecond}
}

const (
	beat    = 20 * clock.Millisecond
	anHour  = 3600 * clock.Second
	subnet  = 1 << 16
	gapMost = 3 * clock.Second // between two works on a duty
	faulty  = 0.001            // of the works: one that must not run twice is handed in with them
)

// Crowd is a tier of routers.
type Crowd struct {
	Now    Micros
	Way    Way
	Nodes  []*Node
	Ledger *Ledger
	Cut    func(from, to int) bool // a way that carries nothing; nil: none
	Over   int                     // bytes that carrying a datagram adds to it
	Lines  func(node int, line string)
	Whole  bool // routers play their whole part in a tier, maps of keys too; set before the first event
	Parts  node.Features
	Maps   *MapBook // what is seen of maps, if Whole
	Load   *Load    // visits, if any
	Asks   *Asks    // queries, if any

	chance   random.Source
	events   events
	count    uint64
	shares   lease.Partitions
	seeds    int // routers that newcomers know; 0: all know all
	pace     membership.Timing
	doubt    membership.Suspicion
	evenness lease.Balance
	every    Micros // each duty is worked on once in so long
	spare    [][]byte
}

// New makes a tier of routers that all start at once. With seeds above 0 each knows the first few only, and learns of the
// rest from them.
func New(seed uint32, routers, seeds int, shares lease.Partitions, way Way, every Micros) *Crowd {
	c := &Crowd{Way: way, chance: random.Source{Seed: seed}, shares: shares, seeds: seeds, pace: membership.DefaultTiming,
		doubt: membership.DefaultSuspicion, evenness: lease.DefaultBalance, every: every}
	c.Ledger = newLedger(shares.Count(), every)
	for i := range routers {
		c.Nodes = append(c.Nodes, &Node{crowd: c, at: i, Address: address(i), Weight: 1,
			skew: 100*anHour + Micros(c.chance.IntN(int(anHour)))})
	}
	for _, n := range c.Nodes {
		c.At(Micros(c.chance.IntN(int(beat))), n.Start)
	}
	return c
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(i >> 8), byte(i)}), 7946)
}

func (c *Crowd) index(a netip.AddrPort) int {
	b := a.Addr().As4()
	if i := int(b[2])<<8 | int(b[3]); b[0] == 127 && b[1] == 77 && i < len(c.Nodes) {
		return i
	}
	return -1
}

// event is something that is to happen: a call, or a datagram that arrives.
type event struct {
	at       Micros
	no       uint64
	call     func()
	from, to int
	b        []byte
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].no < h[j].no
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// At has something happen at a time.
func (c *Crowd) At(at Micros, call func()) {
	c.count++
	heap.Push(&c.events, event{at: max(at, c.Now), no: c.count, call: call})
}

// Run plays until a time.
func (c *Crowd) Run(until Micros) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		if e.call != nil {
			e.call()
			continue
		}
		c.Nodes[e.to].hear(c.Nodes[e.from].Address, e.b)
		c.spare = append(c.spare, e.b)
	}
	c.Now = until
}

// carry sends a datagram on its way.
func (c *Crowd) carry(from int, to netip.AddrPort, b []byte) {
	n := c.index(to)
	if n < 0 || c.Cut != nil && c.Cut(from, n) || c.chance.Float64() < c.Way.Loss {
		return
	}
	copies := 1
	if c.chance.Float64() < c.Way.Doubled {
		copies = 2
	}
	for range copies {
		delay := c.Way.Least + Micros(c.chance.Float64()*float64(c.Way.Most-c.Way.Least))
		if c.chance.Float64() < c.Way.Stray {
			delay += Micros(c.chance.Float64() * float64(c.Way.StrayMost))
		}
		var room []byte
		if n := len(c.spare); n > 0 {
			room, c.spare = c.spare[n-1][:0], c.spare[:n-1]
		}
		c.count++
		heap.Push(&c.events, event{at: c.Now + delay, no: c.count, from: from, to: n, b: append(room, b...)})
	}
}

// Node is one router: its cores, its clock, and the work it does.
type Node struct {
	Address netip.AddrPort
	Weight  uint16
	Members *membership.Members
	Duties  *lease.Manager
	Tier    *node.Node // nil: membership and duties alone
	Up      bool       // runs, or is stopped for a while
	Stopped bool
	Blamed  int // false deaths that this router has believed

	crowd   *Crowd
	at      int
	start   int // counts the starts
	skew    Micros
	held    map[lease.ID]bool
	order   []lease.ID // the same, in order
	sorted  bool
	waiting []event // that came while it was stopped
	Sent    uint64
	Bytes   uint64
	Largest int
}

// clock is the node's own: each has its own idea of what time it is.
func (n *Node) clock() Micros { return n.crowd.Now + n.skew }

// Mark is the node's name to others.
func (n *Node) Mark() membership.NodeID { return membership.NodeID(hash.String(n.Address.String())) }

// Start starts a router that is not running. It has nothing from before but its name and its address.
func (n *Node) Start() {
	c := n.crowd
	n.start++
	n.Up, n.Stopped, n.held, n.order = true, false, map[lease.ID]bool{}, nil
	self := membership.Identity{ID: n.Mark(), Address: n.Address, Zone: 1, Weight: n.Weight,
		Incarnation: membership.Incarnation(n.clock() / clock.Millisecond)}
	post := &post{n, n.start}
	seed := uint32(c.chance.Uint64())
	if c.Whole {
		n.Tier = node.New(n.clock(), self, tierPost{post}, seed, c.pace, c.doubt, c.Parts)
		n.Members = n.Tier.Membership
		if c.Load != nil {
			c.Load.started(n)
		}
	} else {
		n.Members = membership.New(n.clock(), self, post, seed, c.pace, c.doubt)
	}
	n.Duties = lease.New(n.clock(), n.Members.Self(), &dutyPost{post}, seed+1, c.shares.Count(), c.evenness)
	var peers []membership.Peer
	for i, o := range c.Nodes {
		switch {
		case c.seeds == 0:
			peers = append(peers, membership.Peer{ID: o.Mark(), Address: o.Address})
		case i < c.seeds:
			peers = append(peers, membership.Peer{Address: o.Address})
		}
	}
	n.Members.AddPeers(peers)
	n.tick(n.start)
}

// tick is one beat of a running router.
func (n *Node) tick(start int) {
	if !n.Up || start != n.start {
		return
	}
	n.crowd.At(n.crowd.Now+beat, func() { n.tick(start) })
	if n.Stopped {
		return
	}
	n.beat()
	n.work()
}

func (n *Node) beat() {
	now := n.clock()
	if n.Tier != nil {
		n.Tier.Tick(now)
	} else {
		n.Members.Tick(now)
	}
	n.Duties.Tick(now, n.Members.Contact())
}

// work does what is due of the duties held.
func (n *Node) work() {
	if !n.sorted {
		n.order = n.order[:0]
		for i := range n.crowd.shares.Count() {
			if n.held[lease.ID(i)] {
				n.order = append(n.order, lease.ID(i))
			}
		}
		n.sorted = true
	}
	for _, no := range n.order {
		if n.crowd.Ledger.due(no, n.at, n.crowd.Now) {
			if term, mine := n.Duties.Holds(no, n.clock()); mine {
				n.handIn(no)
				n.crowd.Ledger.done(no, n.at, term, n.crowd.Now)
			}
		}
	}
}

// handIn has a faulty caller hand in, now and then, work that must not run twice.
func (n *Node) handIn(no lease.ID) {
	l := n.crowd.Ledger
	if n.crowd.chance.Float64() >= faulty {
		return
	}
	kind := lease.TaskKind(n.crowd.chance.IntN(4))
	if _, err := lease.NewTask(kind, uint64(no), false); err == nil {
		l.Forbidden++
	} else {
		l.Refused++
	}
}

func (n *Node) hear(from netip.AddrPort, b []byte) {
	switch {
	case !n.Up:
	case n.Stopped: // lies in the socket
		if len(n.waiting) < 64 {
			n.waiting = append(n.waiting, event{b: append([]byte(nil), b...), from: n.crowd.index(from)})
		}
	case len(b) == 0:
	case n.Tier != nil && n.Tier.Receive(n.clock(), node.Kind(b[0]), from, b[1:]):
	case b[0] == byteMembers:
		_ = n.Members.Receive(n.clock(), from, b[1:])
	default:
		_ = n.Duties.Receive(n.clock(), from, b[1:])
	}
}

// Kill ends a router outright.
func (n *Node) Kill() {
	if n.Up {
		n.crowd.Ledger.killed(n.at, n.crowd.Now)
	}
	n.Up, n.waiting = false, nil
}

// Leave has a router go as planned: it tells, hands over, and ends once it holds nothing or its time is up.
func (n *Node) Leave(most Micros) {
	if n.Tier != nil {
		n.Tier.Leave(n.clock())
	} else {
		n.Members.Leave(n.clock())
	}
	n.Duties.MemberChanged(n.clock(), n.Members.Self())
	start, until := n.start, n.crowd.Now+most
	var wait func()
	wait = func() {
		switch {
		case start != n.start || !n.Up:
		case n.Duties.HeldCount() == 0 || n.crowd.Now >= until:
			n.Members.Shutdown(n.clock())
			n.Up = false
		default:
			n.crowd.At(n.crowd.Now+beat, wait)
		}
	}
	n.crowd.At(n.crowd.Now+beat, wait)
}

// Stop has a router stand still, as a process that is stopped does; Go has it go on.
func (n *Node) Stop() { n.Stopped = true }

// Go has a stopped router go on: what came meanwhile lies in its socket still.
func (n *Node) Go() {
	n.Stopped = false
	n.beat()
	for _, e := range n.waiting {
		n.hear(n.crowd.Nodes[e.from].Address, e.b)
	}
	n.waiting = nil
}

// Jump sets a router's clock.
func (n *Node) Jump(by Micros) { n.skew += by }

const (
	byteMembers = 1
	byteDuties  = 2
)

// post takes what a router's membership gives out.
type post struct {
	n     *Node
	start int
}

func (p *post) send(kind byte, to netip.AddrPort, b []byte) {
	n := p.n
	n.Sent++
	size := len(b) + n.crowd.Over
	n.Bytes += uint64(size)
	n.Largest = max(n.Largest, size)
	n.crowd.carry(n.at, to, append([]byte{kind}, b...))
}

func (p *post) Send(to netip.AddrPort, b []byte) { p.send(byteMembers, to, b) }

func (p *post) Changed(m membership.Member) {
	n := p.n
	if i := n.crowd.index(m.Address); m.State == membership.Dead && i >= 0 && n.crowd.running(n.at, i) &&
		m.Incarnation == n.crowd.Nodes[i].Members.Self().Incarnation {
		n.Blamed++
		n.crowd.Ledger.FalseDeaths++
	}
	n.Duties.MemberChanged(n.clock(), m)
}

func (p *post) Log(message string, fields map[string]any) {
	if p.n.crowd.Lines != nil {
		p.n.crowd.Lines(p.n.at, fmt.Sprint(message, " ", fields))
	}
}

// running tells whether one router could know that another runs.
func (c *Crowd) running(a, b int) bool {
	return c.Nodes[b].Up && !c.Nodes[b].Stopped && (c.Cut == nil || !c.Cut(a, b) && !c.Cut(b, a))
}

// AllKnown tells whether each router that runs takes all others that run for present, each in the life that it has.
func (c *Crowd) AllKnown() bool {
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if a == b || !a.Up || !b.Up {
				continue
			}
			if m, ok := a.Members.Get(b.Mark()); !ok || !m.State.Present() || m.Incarnation != b.Members.Self().Incarnation {
				return false
			}
		}
	}
	return true
}

// dutyPost takes what a router's duties give out.
type dutyPost struct{ *post }

func (p *dutyPost) Send(to netip.AddrPort, b []byte) { p.send(byteDuties, to, b) }

func (p *dutyPost) Acquired(no lease.ID, term lease.Term) {
	p.n.held[no], p.n.sorted = true, false
	p.n.crowd.Ledger.took(no, p.n.at, term)
}

func (p *dutyPost) Released(no lease.ID, _ lease.Term) {
	delete(p.n.held, no)
	p.n.sorted = false
}

// Holders counts, for each duty, the running routers that would work on it now.
func (c *Crowd) Holders() []int {
	out := make([]int, c.shares.Count())
	for _, n := range c.Nodes {
		if !n.Up || n.Stopped {
			continue
		}
		for no := range out {
			if _, mine := n.Duties.Holds(lease.ID(no), n.clock()); mine {
				out[no]++
			}
		}
	}
	return out
}

// Loads counts the duties that each running router holds.
func (c *Crowd) Loads() []int {
	var out []int
	for _, n := range c.Nodes {
		if n.Up {
			out = append(out, n.Duties.HeldCount())
		}
	}
	return out
}

func (c *Crowd) String() string {
	return fmt.Sprintf("%d routers at %dms", len(c.Nodes), c.Now/clock.Millisecond)
}
