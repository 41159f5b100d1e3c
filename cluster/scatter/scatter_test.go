package scatter

import (
	"net/netip"
	"testing"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
	"threadrun/internal/random"
)

const second = clock.Second

// node is one router of a test: its part, its rows, and what comes out.
type node struct {
	s    *Coordinator
	at   int
	m    *shardmap.Map
	all  bool
	rows []directory.Record
	out  []post
	done []Result
	not  map[membership.NodeID]bool // sites that its summaries leave out
}

type post struct {
	to int
	b  []byte
}

func mark(i int) membership.NodeID { return membership.NodeID(i+1) * 0x9e3779b97f4a7c15 }

func (n *node) Send(to netip.AddrPort, b []byte) {
	if !to.IsValid() {
		_ = n.s.Receive(n.s.now, to, append([]byte(nil), b...), n, n)
		return
	}
	n.out = append(n.out, post{int(to.Port()), append([]byte(nil), b...)})
}
func (n *node) Done(_ uint32, r Result)                                  { n.done = append(n.done, r) }
func (n *node) ShardMap() (*shardmap.Map, bool)                          { return n.m, n.all }
func (n *node) Owns(shardmap.Key) bool                                   { return true }
func (n *node) Address(id membership.NodeID) (a netip.AddrPort, ok bool) { return seat(id) }
func (n *node) MayMatch(k shardmap.Owner, _ shardmap.Digest, _ *summary.Query) bool {
	return !n.not[k.ID]
}
func (n *node) Each(f func(*directory.Record) bool) {
	for i := range n.rows {
		if !f(&n.rows[i]) {
			return
		}
	}
}

func (n *node) EachCreatedBefore(directory.Group, directory.Micros, func(*directory.Record) bool) {}

func seat(id membership.NodeID) (netip.AddrPort, bool) {
	for i := range 8 {
		if mark(i) == id {
			return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), true
		}
	}
	return netip.AddrPort{}, false
}

func nodes(n int) []*node {
	who := shardmap.Candidates{}
	for i := range n {
		who[mark(i)] = shardmap.Candidate{Incarnation: 1, Zone: 1, Weight: 1, Present: true}
	}
	m := shardmap.Propose(nil, who, shardmap.Version{Term: 1, Number: 1})
	var all []*node
	for i := range n {
		x := &node{at: i, m: m, all: true, not: map[membership.NodeID]bool{}}
		x.s = New(second, shardmap.Owner{ID: mark(i), Incarnation: 1}, x, uint32(i))
		all = append(all, x)
	}
	return all
}

func row(k uint64) directory.Record {
	return directory.Record{Key: shardmap.Key(k), Group: 3, RequestGap: second, UpdatedAt: second, SizeKB: 1}
}

// carry brings all that is on its way to where it goes, but what keep says no to.
func carry(all []*node, keep func(from int, p post) bool) {
	for more := true; more; {
		more = false
		for _, n := range all {
			out := n.out
			n.out = nil
			for _, p := range out {
				more = true
				if x := all[p.to]; keep == nil || keep(n.at, p) {
					_ = x.s.Receive(x.s.now, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n.at)), p.b, x, x)
				}
			}
		}
	}
}

func begin(t *testing.T, n *node) {
	t.Helper()
	if _, err := n.s.Start(second, summary.Query{Group: 3}, 0, 4*second, n); err != nil {
		t.Fatal(err)
	}
}

// All answer: complete, each row once, also one that two sites hold; a site that the summaries leave out is not asked.
func TestComplete(t *testing.T) {
	all := nodes(4)
	all[1].rows, all[2].rows = []directory.Record{row(1), row(2)}, []directory.Record{row(2), row(3)}
	all[0].not[mark(3)] = true
	begin(t, all[0])
	carry(all, func(_ int, p post) bool {
		if p.to == 3 {
			t.Error("the one left out is asked")
		}
		return true
	})
	if d := all[0].done; len(d) != 1 || !d[0].Complete || len(d[0].Records) != 3 || d[0].Excluded != 1 || d[0].Candidates != 3 {
		t.Fatalf("%+v", d)
	}
}

// A silent site, one that goes by another map, and one that does not answer for all its keys yet: never complete, and the keys that
// are missing are named.
func TestNeverWronglyComplete(t *testing.T) {
	for name, spoil := range map[string]func(all []*node){
		"silent": nil, "another map": func(all []*node) {
			other := *all[2].m
			other.Digest++
			all[2].m = &other
		}, "not yet": func(all []*node) { all[2].all = false },
	} {
		all := nodes(4)
		all[2].rows = []directory.Record{row(5)}
		if spoil != nil {
			spoil(all)
		}
		begin(t, all[0])
		for at := second; at <= 5*second; at += 100 * clock.Millisecond {
			carry(all, func(from int, p post) bool { return spoil != nil || p.to != 2 && from != 2 })
			for _, n := range all {
				n.s.Tick(at, n)
			}
		}
		d := all[0].done
		if len(d) != 1 || d[0].Complete || len(d[0].Missing) == 0 {
			t.Fatalf("%s: %+v", name, d)
		}
		for _, s := range d[0].Missing {
			if k := all[0].m.Owners[all[0].m.RangeOf(s.First).Owner]; k.ID != mark(2) || s.Last < s.First {
				t.Errorf("%s: %+v is said to be missing", name, s)
			}
		}
	}
}

// An answer of several parts, one of which is lost each time: what is missing is asked for again and alone, and adds up to a whole; parts of
// two answers that say different things never do.
func TestPartsOfTwoAnswers(t *testing.T) {
	for _, change := range []bool{false, true} {
		all := nodes(2)
		for i := range 30 {
			all[1].rows = append(all[1].rows, row(uint64(i+1)))
		}
		begin(t, all[0])
		answers, of := 0, 0
		lose := func(n int) func(from int, p post) bool {
			answers = 0
			return func(from int, p post) bool {
				if from == 1 {
					answers++
				}
				return from != 1 || answers != n
			}
		}
		carry(all, lose(1))
		if of = answers; of < 3 || len(all[0].done) > 0 {
			t.Fatalf("%d parts, %+v", of, all[0].done)
		}
		if change { // a row of the part that came is told anew
			all[1].rows[29].UpdatedAt += second
		}
		all[0].s.Tick(second+300*clock.Millisecond, all[0])
		carry(all, lose(2))
		if change {
			if len(all[0].done) > 0 || answers != of {
				t.Fatalf("%d parts, complete of halves: %+v", answers, all[0].done)
			}
			all[0].s.Tick(second+900*clock.Millisecond, all[0])
			carry(all, lose(0))
		} else if answers != 1 {
			t.Errorf("%d parts where one was missing", answers)
		}
		if d := all[0].done; len(d) != 1 || !d[0].Complete || len(d[0].Records) != 30 {
			t.Fatalf("changed %v: %+v", change, d)
		}
	}
}

// Where half of all datagrams are lost, a query that has time is complete in the end; where its time runs out it is not.
func TestPersists(t *testing.T) {
	complete := 0
	for seed := range 40 {
		all := nodes(4)
		for i := range 20 {
			all[1+i%3].rows = append(all[1+i%3].rows, row(uint64(i+1)))
		}
		begin(t, all[0])
		c := random.Source{Seed: uint32(seed)}
		for at := second; at <= 4*second; at += 50 * clock.Millisecond {
			carry(all, func(int, post) bool { return c.Float64() < 0.5 })
			for _, n := range all {
				n.s.Tick(at, n)
			}
		}
		if d := all[0].done; len(d) != 1 || d[0].Complete && len(d[0].Records) != 20 {
			t.Fatalf("seed %d: %+v", seed, d)
		} else if d[0].Complete {
			complete++
		}
	}
	if complete < 28 {
		t.Errorf("%d of 40 complete", complete)
	}
}

// The router that asks is one of the sites. A new map that names fewer comes while it asks: its own answer, which comes within the call, has all
// asked for anew, and the call that brought it goes on with nothing of before.
func TestOwnAnswerUnderANewMap(t *testing.T) {
	for n := 2; n <= 8; n++ {
		for self := range n {
			all := nodes(n)
			x := all[self]
			for i := range n {
				all[i].rows = []directory.Record{row(uint64(i + 1))}
			}
			begin(t, x)
			carry(all, func(_ int, p post) bool { return p.to == self })
			small := nodes(1)
			m := *small[0].m
			m.Owners = []shardmap.Owner{{ID: mark(self), Incarnation: 1}}
			x.m = &m
			x.s.all = nil
			x.done = nil
			query := &query{no: 99, q: summary.Query{Group: 3}, limit: rowsMost, until: 4 * second}
			x.s.plan(query, all[(self+1)%n].m, x)
			x.s.all = append(x.s.all, query)
			x.s.Tick(second+100*clock.Millisecond, x)
			x.s.Tick(second+200*clock.Millisecond, x)
			if d := x.done; len(d) != 1 || !d[0].Complete || len(d[0].Records) != 1 {
				t.Fatalf("%d sites, %d asks: %+v", n, self, d)
			}
		}
	}
}
