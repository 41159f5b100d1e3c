package cluster

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 60) }

const (
	ms     = clock.Millisecond
	second = clock.Second
	turn   = 500 * ms
)

func few(routers int, loss float64) *Crowd {
	return New(7, routers, 0, lease.Partitions{Refresh: 300}, OrdinaryWay(loss), turn)
}

// agreed fails the test unless every running router sees all that run and no other, and each duty has one holder.
func (c *Crowd) agreed(t interface{ Fatalf(string, ...any) }) {
	for i, n := range c.Nodes {
		if !n.Up {
			continue
		}
		seen := 0
		n.Members.Each(func(m membership.Member) {
			if at := c.index(m.Address); m.State.Present() && (!c.Nodes[at].Up || m.Incarnation != c.Nodes[at].Members.Self().Incarnation) {
				t.Fatalf("router %d sees router %d in a life that is not, as %v", i, at, m.State)
			} else if m.State.Present() {
				seen++
			}
		})
		if seen != len(c.Loads())-1 {
			t.Fatalf("router %d sees %d others of %d", i, seen, len(c.Loads())-1)
		}
	}
	for no, n := range c.Holders() {
		if n != 1 {
			t.Fatalf("duty %d has %d holders", no, n)
		}
	}
}

// Random tiers and troubles: after every step no router has gone back on what it knew, and once all is quiet all agree.
func TestTiersAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(rt, "routers")
		c := New(rapid.Uint32().Draw(rt, "seed"), n, rapid.IntRange(0, 2).Draw(rt, "seeds"), lease.Partitions{Refresh: 40},
			OrdinaryWay(rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss")), turn)
		w := watch(rt, c)
		for range rapid.IntRange(3, 14).Draw(rt, "steps") {
			c.Run(c.Now + Micros(rapid.IntRange(10, 4000).Draw(rt, "pause"))*ms)
			x := c.Nodes[rapid.IntRange(0, n-1).Draw(rt, "router")]
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0:
				x.Kill()
			case 1, 2:
				if !x.Up {
					x.Start()
				}
			case 3:
				x.Stop()
			case 4:
				x.Jump(Micros(rapid.IntRange(-3600, 3600).Draw(rt, "jump")) * second)
			case 5:
				half := rapid.IntRange(0, n).Draw(rt, "half")
				c.Cut = func(a, b int) bool { return (a < half) != (b < half) }
			case 6:
				deaf := x.at
				c.Cut = func(a, _ int) bool { return a == deaf } // it hears and is not heard
			case 7:
				if x.Up && !x.Stopped {
					x.Leave(second)
				}
			case 8:
				c.Cut = nil
			}
			w.check()
		}
		c.Cut, c.Way = nil, OrdinaryWay(0)
		for _, x := range c.Nodes {
			if x.Stopped && x.Up {
				x.Go()
			}
			if !x.Up || x.Members.Self().State != membership.Alive {
				x.Kill()
				x.Start()
			}
		}
		for range 60 {
			c.Run(c.Now + second/2)
			w.check()
		}
		c.agreed(rt)
		if c.Ledger.Forbidden > 0 {
			rt.Fatalf("%d works that must not run twice were let in", c.Ledger.Forbidden)
		}
	})
}

// watcher holds what each router knew, to find one that goes back on it.
type watcher struct {
	t     *rapid.T
	c     *Crowd
	start []int
	lives []map[membership.NodeID]membership.Incarnation
	terms [][]lease.Term
	sent  []uint64
	at    Micros
}

func watch(t *rapid.T, c *Crowd) *watcher {
	w := &watcher{t: t, c: c, start: make([]int, len(c.Nodes)), lives: make([]map[membership.NodeID]membership.Incarnation, len(c.Nodes)),
		terms: make([][]lease.Term, len(c.Nodes)), sent: make([]uint64, len(c.Nodes))}
	return w
}

func (w *watcher) check() {
	for i, n := range w.c.Nodes {
		if n.Members == nil {
			continue
		}
		if n.start != w.start[i] {
			w.start[i], w.lives[i], w.terms[i] = n.start, map[membership.NodeID]membership.Incarnation{}, make([]lease.Term, 40)
		}
		n.Members.Each(func(m membership.Member) {
			if m.Incarnation < w.lives[i][m.ID] {
				w.t.Fatalf("router %d went back from life %d to %d", i, w.lives[i][m.ID], m.Incarnation)
			}
			w.lives[i][m.ID] = m.Incarnation
		})
		for no := range w.terms[i] {
			_, term, _ := n.Duties.Lookup(lease.ID(no))
			if term < w.terms[i][no] {
				w.t.Fatalf("router %d went back from term %d of duty %d to %d", i, w.terms[i][no], no, term)
			}
			w.terms[i][no] = term
		}
		// Bounded whatever comes: 60 and 50 a second, and as many at once.
		if most := uint64(110*((w.c.Now-w.at).Seconds()+1) + 110); n.Sent-w.sent[i] > most {
			w.t.Fatalf("router %d sent %d datagrams in %v ms", i, n.Sent-w.sent[i], (w.c.Now - w.at).Millis())
		}
		w.sent[i] = n.Sent
		if n.Largest > membership.MaxPayload+1 && n.Largest > lease.MaxPayload+1 {
			w.t.Fatalf("a datagram of %d bytes", n.Largest)
		}
	}
	w.at = w.c.Now
}

// A holder dies: its duties are taken over within seconds, at a third of all datagrams lost, and no others move.
func TestTakeover(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		c := New(1, 16, 0, lease.Partitions{Refresh: 2000}, OrdinaryWay(loss), turn)
		c.Kills(4, 60*second, 6*second)
		c.Run(60 * second)
		l := c.Ledger
		if p99 := l.Takeover.ValueAtPercentile(99); l.Takeover.TotalCount() < 300 || p99 > 3000 {
			t.Errorf("loss %v: %d takeovers, p99 %d ms", loss, l.Takeover.TotalCount(), p99)
		}
		if l.LeftUndone+l.Gaps(c.Now) > 0 || l.Forbidden > 0 || l.Refused == 0 {
			t.Errorf("loss %v: %d left undone, %d forbidden, %d refused", loss, l.LeftUndone, l.Forbidden, l.Refused)
		}
		if moved := float64(l.Moved) / float64(l.Own); moved > 1.3 {
			t.Errorf("loss %v: %.2f moved for each of the dead's", loss, moved)
		}
		if share := float64(l.Twice) / float64(l.Done); share > 0.01 {
			t.Errorf("loss %v: %.3f done twice", loss, share)
		}
	}
}

// Ten minutes with a tenth of all datagrams lost each way: nobody is believed dead.
func TestNoFalseDeaths(t *testing.T) {
	c := few(16, 0.1)
	c.Run(600 * second)
	doubts := uint64(0)
	for _, n := range c.Nodes {
		doubts += n.Members.Stats().Suspicions
	}
	if c.Ledger.FalseDeaths > 0 || doubts == 0 {
		t.Fatalf("%d false deaths, %d suspicions", c.Ledger.FalseDeaths, doubts)
	}
	c.agreed(t)
}

// The router that carries a third of all duties dies.
func TestTheHeaviestDies(t *testing.T) {
	c := few(8, 0.1)
	c.Nodes[3].Weight = 4 // of 11: over a third
	c.Run(12 * second)
	held := c.Nodes[3].Duties.HeldCount()
	if held < 100 {
		t.Fatalf("it holds %d of 300", held)
	}
	c.Nodes[3].Kill()
	c.Run(c.Now + 5*second)
	if l := c.Ledger; l.Gaps(c.Now)+l.LeftUndone > 0 || l.Takeover.Max() > 3000 || l.Takeover.TotalCount() != int64(held) {
		t.Errorf("%d undone, %d of %d taken over, the last after %d ms", l.LeftUndone, l.Takeover.TotalCount(), held,
			l.Takeover.Max())
	}
	c.agreed(t)
}

// All but one die at once: the last does everything.
func TestAllButOneDie(t *testing.T) {
	c := few(9, 0.1)
	c.Run(12 * second)
	for _, n := range c.Nodes[1:] {
		n.Kill()
	}
	c.Run(c.Now + 8*second)
	if held := c.Nodes[0].Duties.HeldCount(); held != 300 || c.Ledger.Gaps(c.Now) > 0 {
		t.Errorf("the last holds %d of 300, %d rest", held, c.Ledger.Gaps(c.Now))
	}
}

// A tier falls in halves and heals: each side does everything meanwhile, and then each duty has one holder again.
func TestSplitAndHealed(t *testing.T) {
	c := few(10, 0.1)
	healed := c.Split(15*second, 12*second)
	c.Run(26 * second)
	for no, n := range c.Holders() {
		if n != 2 {
			t.Fatalf("within the split duty %d has %d holders", no, n)
		}
	}
	if c.Ledger.Gaps(c.Now) > 0 {
		t.Fatal("a side leaves duties undone")
	}
	c.Run(45 * second)
	if ms := healed(); ms < 0 || ms > 6000 {
		t.Errorf("one holder each after %d ms", ms)
	}
	c.agreed(t)
}

// A router that hears and is not heard works on nothing, and its duties go to others; one that is heard and does not hear
// believes itself alone, and is not believed to be well either.
func TestHalfDeaf(t *testing.T) {
	for _, mute := range []bool{true, false} {
		c := few(6, 0)
		c.Run(10 * second)
		c.Cut = func(from, to int) bool { return mute && from == 2 || !mute && to == 2 }
		c.Run(16 * second)
		held := 0
		for no := range 300 {
			if _, mine := c.Nodes[2].Duties.Holds(lease.ID(no), c.Nodes[2].clock()); mine {
				held++
			}
		}
		if mute && held > 0 {
			t.Errorf("unheard, it works on %d duties", held)
		}
		if c.Ledger.Gaps(c.Now) > 0 {
			t.Errorf("mute %v: %d duties rest", mute, c.Ledger.Gaps(c.Now))
		}
		c.Cut = nil
		c.Run(30 * second)
		c.agreed(t)
	}
}

// Twenty restarts in a row under one name: each is a new life, and the others' duties stay where they are.
func TestTwentyRestarts(t *testing.T) {
	c := few(5, 0.1)
	c.Run(10 * second)
	before := make([]map[lease.ID]bool, 5)
	for i, n := range c.Nodes {
		before[i] = map[lease.ID]bool{}
		for no := range n.held {
			before[i][no] = true
		}
	}
	x := c.Nodes[4]
	lives := map[membership.Incarnation]bool{}
	for i := range 20 {
		x.Kill()
		if i == 10 {
			x.Jump(-3600 * second) // its clock is set back: its lives go on growing all the same
		}
		c.Run(c.Now + Micros(200+i*70)*ms)
		x.Start()
		c.Run(c.Now + Micros(300+i*90)*ms)
		lives[x.Members.Self().Incarnation] = true
	}
	c.Run(c.Now + 15*second)
	if len(lives) != 20 {
		t.Errorf("%d lives of 20", len(lives))
	}
	for i, n := range c.Nodes[:4] {
		kept := 0
		for no := range before[i] {
			if n.held[no] {
				kept++
			}
		}
		if kept < len(before[i])*2/3 {
			t.Errorf("router %d kept %d of %d", i, kept, len(before[i]))
		}
	}
	c.agreed(t)
}

// A process is stopped for five seconds and goes on: it works on nothing under a term that has passed.
func TestStoppedAndGoneOn(t *testing.T) {
	c := few(6, 0)
	c.Run(10 * second)
	x := c.Nodes[1]
	held := x.Duties.HeldCount()
	x.Stop()
	c.Run(15 * second)
	past, others := c.Ledger.Past, c.Ledger.FalseDeaths
	for no := range 300 {
		if _, mine := x.Duties.Holds(lease.ID(no), x.clock()); mine {
			t.Fatal("before its first tick it takes a duty for its own")
		}
	}
	x.Go()
	c.Run(25 * second)
	if held == 0 || c.Ledger.Past != past {
		t.Errorf("%d works under a term that had passed", c.Ledger.Past-past)
	}
	if c.Ledger.FalseDeaths != others || x.Members.Stats().Deaths > 0 {
		t.Error("it blames those that ran on")
	}
	c.agreed(t)
}

// A split of a large tier: neither during it nor after its healing are those believed dead that can be heard, and the news of
// the healing outruns the accusations that the split had left behind.
func TestSplitOfMany(t *testing.T) {
	c := New(321, 150, 0, lease.Partitions{Refresh: 200}, OrdinaryWay(0.1), turn)
	healed := c.Split(8*second, 8*second)
	c.Run(26 * second)
	if c.Ledger.FalseDeaths > 3 {
		t.Errorf("%d false deaths", c.Ledger.FalseDeaths)
	}
	if at := healed(); at < 0 || at > 6000 {
		t.Errorf("one holder left %d ms after the healing", at)
	}
}

// Seven in ten killed at one moment: those that are left take their duties over, and once they are back all agree.
func TestMostKilledAtOnce(t *testing.T) {
	c := few(20, 0.1)
	c.KillShare(0.7, 8*second, 6*second)
	c.Run(13 * second)
	if up := len(c.Loads()); up != 6 {
		t.Fatalf("%d routers run", up)
	}
	for no, n := range c.Holders() {
		if n == 0 {
			t.Fatalf("duty %d has no holder 5 s after the death", no)
		}
	}
	c.Way = OrdinaryWay(0)
	c.Run(40 * second)
	c.agreed(t)
}

// A planned leave is told: nobody is suspected, each duty is worked on in every turn, and none in two hands for long.
func TestNewcomersAreKnownSoon(t *testing.T) {
	c := New(11, 100, 0, lease.Partitions{Refresh: 64}, OrdinaryWay(0.1), turn)
	c.Run(10 * second)
	c.KillShare(0.7, c.Now, 3*second)
	c.Run(c.Now + 25*second)
	if v := c.Ledger.WholeView; v <= 0 || v > 7000 {
		t.Errorf("all know all after %d ms", v)
	}
	if c.Ledger.FalseDeaths > 0 {
		t.Errorf("%d false deaths", c.Ledger.FalseDeaths)
	}
}

func TestPlannedLeave(t *testing.T) {
	c := few(6, 0)
	c.Run(10 * second)
	x := c.Nodes[1]
	held, twice := x.Duties.HeldCount(), c.Ledger.Twice
	x.Leave(2 * second)
	worst := Micros(0)
	for range 200 {
		c.Run(c.Now + 20*ms)
		for i := range c.Ledger.duty {
			worst = max(worst, c.Now-c.Ledger.duty[i].last)
		}
	}
	for _, n := range c.Nodes {
		if y := n.Members.Stats(); n != x && (y.Deaths > 0 || y.Departures == 0) {
			t.Errorf("router %d: %+v", n.at, y)
		}
	}
	if worst > 2*turn {
		t.Errorf("a duty lay for %v ms", worst.Millis())
	}
	if x.Up || held < 30 || c.Ledger.Twice-twice > held {
		t.Errorf("it held %d, %d done twice, still up: %v", held, c.Ledger.Twice-twice, x.Up)
	}
	c.agreed(t)
}

// A datagram that declares everyone dead, told by one of them: nobody believes it, and nothing moves.
func TestEveryoneDeclaredDead(t *testing.T) {
	c := few(8, 0)
	c.Run(10 * second)
	taken := func() (n uint64) {
		for _, x := range c.Nodes {
			n += x.Duties.Stats().Acquired
		}
		return n
	}
	was := taken()
	for range 20 {
		for _, x := range c.Nodes {
			var lies [][]byte
			for _, o := range c.Nodes {
				lies = append(lies, membership.ForgeGossip(c.Nodes[7].Members.Self(), o.Members.Self(), membership.Dead))
			}
			for _, b := range lies {
				_ = x.Members.Receive(x.clock(), c.Nodes[7].Address, b)
			}
		}
		c.Run(c.Now + 50*ms)
	}
	c.Run(c.Now + 10*second)
	if c.Ledger.FalseDeaths > 0 || taken() != was {
		t.Errorf("%d deaths believed, %d duties moved", c.Ledger.FalseDeaths, taken()-was)
	}
	c.agreed(t)
}

// Newcomers that know a seed alone find everyone; a router that was killed is forgotten as its place is not listed.
func TestSeeds(t *testing.T) {
	c := New(3, 40, 2, lease.Partitions{Refresh: 300}, OrdinaryWay(0.1), turn)
	c.Run(20 * second)
	c.agreed(t)
}

// Few duties and unlike weights: no holder has more than the bound, and one that joins gets its least part.
func TestEvenness(t *testing.T) {
	c := New(5, 10, 0, lease.Partitions{Refresh: 60}, OrdinaryWay(0), turn)
	for i, n := range c.Nodes {
		n.Weight = uint16(1 + i%2) // 15 together
	}
	late := c.Nodes[9]
	c.At(30*ms, late.Kill)
	c.Run(20 * second)
	late.Start()
	c.Run(40 * second)
	for i, n := range c.Nodes {
		part := 60 * float64(n.Weight) / 15
		if held := float64(n.Duties.HeldCount()); held > part*1.25+1 || held < part*0.5 {
			t.Errorf("router %d of weight %d holds %v, its part is %v", i, n.Weight, held, part)
		}
	}
}

// One seed plays one history.
func TestSameSeedSameHistory(t *testing.T) {
	play := func() []uint64 {
		c := few(12, 0.2)
		c.Kills(2, 20*second, 6*second)
		c.Run(20 * second)
		out := []uint64{uint64(c.Ledger.Done), uint64(c.Ledger.Twice), uint64(c.Ledger.Takeover.Max())}
		for _, n := range c.Nodes {
			out = append(out, n.Sent, n.Bytes)
		}
		return out
	}
	if a, b := play(), play(); !slices.Equal(a, b) {
		t.Fatalf("%v\n%v", a, b)
	}
}
