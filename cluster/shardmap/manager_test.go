package shardmap

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
)

const (
	ms   = clock.Millisecond
	step = 50 * ms
)

// testCluster runs three routers on virtual time and delivers the datagrams between them. Once applyOutcomes is set,
// outcomes apply to the next datagrams in the order of sending; all other datagrams are delivered.
type testCluster struct {
	now           Micros
	nodes         [3]*Manager // nil: not running
	pausedUntil   [3]Micros
	outcomes      []int
	nextOutcome   int
	applyOutcomes bool
	inFlight      []delivery
	cutSince      Micros // when router 2 was cut off; 0: it is connected
}

// delivery is a datagram in flight.
type delivery struct {
	at       Micros
	from, to int // indexes of routers
	datagram []byte
}

// The outcomes of sending a datagram.
const (
	delivered = iota
	lost
	delayed
	outcomeCount
)

func (c *testCluster) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 9)
}

func (c *testCluster) member(i int, incarnation membership.Incarnation, state membership.State) membership.Member {
	identity := membership.Identity{
		ID:          membership.NodeID(i + 1),
		Address:     c.address(i),
		Zone:        1,
		Weight:      1,
		Incarnation: incarnation,
	}
	return membership.Member{Identity: identity, State: state}
}

// testOutput implements Output for one router of a test cluster.
type testOutput struct {
	*testCluster
	router int
}

func (o testOutput) Send(to netip.AddrPort, datagram []byte) {
	outcome, delay := delivered, 5*ms
	if o.applyOutcomes && o.nextOutcome < len(o.outcomes) {
		outcome = o.outcomes[o.nextOutcome]
		o.nextOutcome++
	}
	switch outcome {
	case lost:
		return
	case delayed:
		delay = 900 * ms
	}
	receiver := int(to.Addr().As4()[3])
	o.inFlight = append(o.inFlight, delivery{o.now + delay, o.router, receiver, slices.Clone(datagram)})
}

func (testOutput) MapChanged(*Map, State)          {}
func (testOutput) RequestMember(membership.NodeID) {}
func (testOutput) Log(string, ...slog.Attr)        {}

// run runs the cluster for a duration. proposers contains the routers that hold the map lease, by index, with the
// term under which each holds it. run checks after each step that no key is served by two routers. history
// describes the case in failure messages.
func (c *testCluster) run(t *testing.T, duration Micros, proposers map[int]lease.Term, history any) {
	for end := c.now + duration; c.now < end; {
		c.now += step
		c.deliver()
		for i, node := range c.nodes {
			if node == nil || c.pausedUntil[i] > c.now {
				continue
			}
			contact := membership.Contact{Settled: true}
			if c.cutSince > 0 && i == 2 {
				contact.SinceAck = c.now - c.cutSince
			}
			term, proposer := proposers[i]
			node.Tick(c.now, contact, proposer, term)
		}
		c.checkServedOnce(t, history)
	}
}

// deliver delivers the datagrams that are due. Datagrams to a paused router wait until it resumes; those from
// or to a router that is cut off are lost.
func (c *testCluster) deliver() {
	var later []delivery
	due := c.inFlight
	c.inFlight = nil
	for _, d := range due {
		if c.cutSince > 0 && (d.from == 2 || d.to == 2) {
			continue
		}
		if d.at > c.now || c.pausedUntil[d.to] > c.now {
			later = append(later, d)
		} else if node := c.nodes[d.to]; node != nil {
			_ = node.Receive(c.now, c.address(d.from), d.datagram)
		}
	}
	c.inFlight = append(later, c.inFlight...)
}

// serving returns the number of routers that are running, not paused, and serve a key.
func (c *testCluster) serving(key Key) (n int) {
	for i, node := range c.nodes {
		if node == nil || c.pausedUntil[i] > c.now {
			continue
		}
		if _, serves := node.Serves(key, c.now); serves {
			n++
		}
	}
	return n
}

// checkServedOnce fails the test if two routers serve the first, the middle or the last key of a range of any
// current map.
func (c *testCluster) checkServedOnce(t *testing.T, history any) {
	for _, node := range c.nodes {
		if node == nil || node.current == nil {
			continue
		}
		for _, r := range node.current.Ranges {
			for _, key := range [...]Key{r.First, r.First + (r.Last-r.First)/2, r.Last} {
				if n := c.serving(key); n > 1 {
					t.Fatalf("%v at %d ms: %d routers serve key %x, want at most 1", history, c.now/ms, n, key)
				}
			}
		}
	}
}

// startTestCluster starts three routers and runs them until they follow one active map, which the first router
// proposed under term 1.
func startTestCluster(t *testing.T) *testCluster {
	c := &testCluster{now: 1000 * clock.Second}
	for i := range c.nodes {
		c.nodes[i] = New(c.now, c.member(i, 1, membership.Alive), testOutput{c, i}, uint32(i+1), DefaultBounds)
	}
	for i, node := range c.nodes {
		for j := range c.nodes {
			if i != j {
				node.MemberChanged(c.now, c.member(j, 1, membership.Alive))
			}
		}
	}
	c.run(t, 6*clock.Second, map[int]lease.Term{0: 1}, "start")
	for i, node := range c.nodes {
		if _, state := node.Map(); state != Active {
			t.Fatalf("router %d: the map's state at the start is %v, want %v", i, state, Active)
		}
	}
	return c
}

// TestEveryShortHistoryHasOneOwner guards against two owners of a key, and against keys without an owner, after
// lost or delayed datagrams. It tests every combination of the outcomes of the first five datagrams after a router
// dies. The other routers learn of the death at different times, and the dead router restarts without state.
// Meanwhile router 0, router 2, or both under different terms propose maps; router 0 is paused for some time or
// not. No key may ever be served by two routers, and the keys of all ranges must be served in the end.
func TestEveryShortHistoryHasOneOwner(t *testing.T) {
	const datagrams = 5
	allProposers := []map[int]lease.Term{{0: 2}, {2: 2}, {0: 2, 2: 3}}
	histories := 0
	// A code is a combination of pause (2 values), the proposers (3), and the outcomes as digits in base outcomeCount.
	for code := range 2 * len(allProposers) * pow(outcomeCount, datagrams) {
		outcomes := make([]int, datagrams)
		for i, rest := 0, code/2/len(allProposers); i < datagrams; i, rest = i+1, rest/outcomeCount {
			outcomes[i] = rest % outcomeCount
		}
		proposers := allProposers[code/2%len(allProposers)]
		pause := code%2 == 1
		history := [...]any{outcomes, proposers, pause}
		c := startTestCluster(t)
		c.nodes[1] = nil
		c.applyOutcomes, c.outcomes = true, outcomes
		c.nodes[0].MemberChanged(c.now, c.member(1, 1, membership.Dead))
		c.run(t, 300*ms, proposers, history)
		c.nodes[2].MemberChanged(c.now, c.member(1, 1, membership.Dead))
		if pause {
			c.pausedUntil[0] = c.now + 1500*ms
		}
		c.run(t, 1500*ms, proposers, history)
		c.nodes[1] = New(c.now, c.member(1, 2, membership.Alive), testOutput{c, 1}, 9, DefaultBounds)
		for _, i := range [...]int{0, 2} {
			c.nodes[1].MemberChanged(c.now, c.member(i, 1, membership.Alive))
			c.nodes[i].MemberChanged(c.now, c.member(1, 2, membership.Alive))
		}
		c.run(t, 9*clock.Second, proposers, history)
		for _, r := range c.nodes[0].current.Ranges {
			if n := c.serving(r.First); n != 1 {
				t.Fatalf("%v: %d routers serve key %x at the end, want 1", history, n, r.First)
			}
		}
		histories++
	}
	if histories != 1458 {
		t.Errorf("%d histories were tested, want 1458", histories)
	}
}

// TestReturnAfterPartition guards against a router that returns from a partition with its own map, rejects the
// others' maps forever and serves keys that others serve, too. Router 2 is cut off until the others believe it
// dead, and is then reconnected; it may have believed others dead and proposed maps itself. Whichever router
// proposes maps afterward, and under whatever term, all routers must follow one active map in the end, and no key
// may ever be served by two routers.
func TestReturnAfterPartition(t *testing.T) {
	for believedDead := range 4 { // bit set of the routers that router 2 believes dead
		for _, term := range []lease.Term{0, 1, 2, 3} { // of router 2's proposals while cut off; 0: it makes none
			for _, proposers := range []map[int]lease.Term{{0: 1}, {0: 2}, {2: 1}, {2: 2}, {2: 3}, {1: 3}} {
				history := [...]any{believedDead, term, proposers}
				c := startTestCluster(t)
				c.cutOff(t, believedDead, term, history)
				c.run(t, 25*clock.Second, proposers, history)
				first, _ := c.nodes[0].Map()
				for i, node := range c.nodes {
					if m, state := node.Map(); m.Digest != first.Digest || state != Active || len(m.Owners) != 3 {
						t.Errorf("%v: router %d follows map %v in state %v with %d owners, want map %v of the first router, active, "+
							"with 3 owners", history, i, m.Version, state, len(m.Owners), first.Version)
					}
				}
			}
		}
	}
}

// cutOff cuts router 2 off until the others believe it dead, and reconnects it after both sides have had time to
// propose maps. believedDead is the bit set of the routers that router 2 believes dead, and term the term under
// which it proposes maps, or 0.
func (c *testCluster) cutOff(t *testing.T, believedDead int, term lease.Term, history any) {
	c.cutSince = c.now
	c.run(t, 1200*ms, nil, history)
	for i := range 2 {
		c.nodes[i].MemberChanged(c.now, c.member(2, 1, membership.Dead))
		if believedDead>>i&1 == 1 {
			c.nodes[2].MemberChanged(c.now, c.member(i, 1, membership.Dead))
		}
	}
	proposers := map[int]lease.Term{0: 1}
	if term > 0 {
		proposers[2] = term
	}
	c.run(t, 2500*ms, proposers, history)
	c.cutSince = 0
	for i := range 2 {
		c.nodes[i].MemberChanged(c.now, c.member(2, 1, membership.Alive))
		c.nodes[2].MemberChanged(c.now, c.member(i, 1, membership.Alive))
	}
}

// pow returns a to the power of n.
func pow(a, n int) int {
	x := 1
	for range n {
		x *= a
	}
	return x
}
