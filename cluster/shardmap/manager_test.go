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

// testCluster is three routers and the datagrams between them. Once fatesApply is set, the listed fates are applied
// to the next datagrams.
type testCluster struct {
	now          Micros
	nodes        [3]*Manager // nil: not running
	stoppedUntil [3]Micros
	fates        []int
	nextFate     int
	fatesApply   bool
	inFlight     []delivery
	cutSince     Micros // since when router 2 is cut off; 0: it is not
}

// delivery is a datagram in flight.
type delivery struct {
	at       Micros
	from, to int
	datagram []byte
}

// The fates of a datagram.
const (
	arrives = iota
	isLost
	isDelayed
	fateCount
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

// testOutput is the Output of one router of a test cluster.
type testOutput struct {
	*testCluster
	router int
}

func (o testOutput) Send(to netip.AddrPort, datagram []byte) {
	fate, delay := arrives, 5*ms
	if o.fatesApply && o.nextFate < len(o.fates) {
		fate = o.fates[o.nextFate]
		o.nextFate++
	}
	switch fate {
	case isLost:
		return
	case isDelayed:
		delay = 900 * ms
	}
	receiver := int(to.Addr().As4()[3])
	o.inFlight = append(o.inFlight, delivery{o.now + delay, o.router, receiver, slices.Clone(datagram)})
}

func (testOutput) MapChanged(*Map, State)          {}
func (testOutput) RequestMember(membership.NodeID) {}
func (testOutput) Log(string, ...slog.Attr)        {}

// run runs the cluster for a duration. proposers lists the routers with the map lease and its term at each. It
// checks after each step that no key is served by two routers.
func (c *testCluster) run(t *testing.T, duration Micros, proposers map[int]lease.Term, history any) {
	for end := c.now + duration; c.now < end; {
		c.now += step
		c.deliver()
		for i, node := range c.nodes {
			if node == nil || c.stoppedUntil[i] > c.now {
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

func (c *testCluster) deliver() {
	var later []delivery
	due := c.inFlight
	c.inFlight = nil
	for _, d := range due {
		if c.cutSince > 0 && (d.from == 2 || d.to == 2) {
			continue
		}
		if d.at > c.now || c.stoppedUntil[d.to] > c.now {
			later = append(later, d)
		} else if node := c.nodes[d.to]; node != nil {
			_ = node.Receive(c.now, c.address(d.from), d.datagram)
		}
	}
	c.inFlight = append(later, c.inFlight...)
}

// serving returns the number of running routers that serve a key.
func (c *testCluster) serving(key Key) (n int) {
	for i, node := range c.nodes {
		if node == nil || c.stoppedUntil[i] > c.now {
			continue
		}
		if _, serves := node.Serves(key, c.now); serves {
			n++
		}
	}
	return n
}

// checkServedOnce checks the first, a middle and the last key of each range of each current map.
func (c *testCluster) checkServedOnce(t *testing.T, history any) {
	for _, node := range c.nodes {
		if node == nil || node.current == nil {
			continue
		}
		for _, r := range node.current.Ranges {
			for _, key := range [...]Key{r.First, r.First + (r.Last-r.First)/2, r.Last} {
				if n := c.serving(key); n > 1 {
					t.Fatalf("%v at %dms: %d routers serve key %x", history, c.now/ms, n, key)
				}
			}
		}
	}
}

// startTestCluster starts three routers that follow one map, which the first router proposed.
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
			t.Fatalf("router %d: state %v at the start", i, state)
		}
	}
	return c
}

// Tests every way in which the first five datagrams after a failure can arrive, be lost or be delayed: a router
// dies, is believed dead at one of two moments, and restarts without state, while one router, another, or both
// under two terms propose maps, with and without a stop of a proposer in between. No key may ever be served twice,
// and each must be served in the end.
func TestEveryShortHistoryHasOneOwner(t *testing.T) {
	const datagrams = 5
	allProposers := []map[int]lease.Term{{0: 2}, {2: 2}, {0: 2, 2: 3}}
	histories := 0
	for code := range 2 * len(allProposers) * pow(fateCount, datagrams) {
		fates := make([]int, datagrams)
		for i, rest := 0, code/2/len(allProposers); i < datagrams; i, rest = i+1, rest/fateCount {
			fates[i] = rest % fateCount
		}
		proposers := allProposers[code/2%len(allProposers)]
		stop := code%2 == 1
		history := [...]any{fates, proposers, stop}
		c := startTestCluster(t)
		c.nodes[1] = nil
		c.fatesApply, c.fates = true, fates
		c.nodes[0].MemberChanged(c.now, c.member(1, 1, membership.Dead))
		c.run(t, 300*ms, proposers, history)
		c.nodes[2].MemberChanged(c.now, c.member(1, 1, membership.Dead))
		if stop {
			c.stoppedUntil[0] = c.now + 1500*ms
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
				t.Fatalf("%v: %d routers serve key %x at the end", history, n, r.First)
			}
		}
		histories++
	}
	if histories != 1458 {
		t.Errorf("%d histories were tested", histories)
	}
}

// Guards against a router that returns with its own map, rejects the others' maps forever and serves keys at the
// same time as they do. A router is cut off until it is believed dead, and then returns; it may have believed
// others dead. Whichever router proposes maps then, under whatever term, all routers must follow one map in the
// end, and no key may ever be served twice.
func TestReturnAfterPartition(t *testing.T) {
	for believedDead := range 4 { // by the router that is cut off; one bit per other router
		for _, term := range []lease.Term{0, 1, 2, 3} { // under which it proposes maps; 0: it proposes none
			for _, proposers := range []map[int]lease.Term{{0: 1}, {0: 2}, {2: 1}, {2: 2}, {2: 3}, {1: 3}} {
				history := [...]any{believedDead, term, proposers}
				c := startTestCluster(t)
				c.cutOff(t, believedDead, term, history)
				c.run(t, 25*clock.Second, proposers, history)
				first, _ := c.nodes[0].Map()
				for i, node := range c.nodes {
					if m, state := node.Map(); m.Digest != first.Digest || state != Active || len(m.Owners) != 3 {
						t.Errorf("%v: router %d follows %v, %v, with %d owners; the first follows %v",
							history, i, m.Version, state, len(m.Owners), first.Version)
					}
				}
			}
		}
	}
}

// cutOff cuts router 2 off until the others believe it dead, and reconnects it.
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

func pow(a, n int) int {
	x := 1
	for range n {
		x *= a
	}
	return x
}
