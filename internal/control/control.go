// Package control is the one goroutine that owns what routers agree on: membership, duties and the map of keys. It carries their
// time and datagrams, and decides nothing. Traffic hears of what they found out only through views, each made once and
// swapped whole, and through letters that it takes when it has time: no visit ever waits for it.
package control

import (
	"errors"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/location"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/cluster/purgeaudit"
	"threadrun/cluster/recovery"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
	"threadrun/internal/snapshot"
	"threadrun/internal/transport"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

const (
	beatEvery   = 20 * time.Millisecond
	viewStale   = 300 * clock.Millisecond // a view older than this is no ground for work: control was stopped
	lettersMost = 1024                    // that wait for traffic, or to be sent; more are lost, as datagrams may be
	ofDuties    = 2
	newsMost    = 4096 // of objects seen in one beat
	wantsMost   = 1024 // objects wished for in one beat
	goneWait    = 200 * time.Millisecond
	keepEvery   = 5 * clock.Second // between snapshots: as often as routers tell of an object anew
)

// Letter is what traffic is to hear: a datagram of a kind that is not control's, or a duty that was taken.
type Letter struct {
	Kind     byte
	From     netip.AddrPort
	B        []byte
	Took     lease.No
	Duty     bool
	Row      directory.Row // that was recalled
	Recalled bool
	Key      shardmap.Key
	Held     []directory.Copy // that others know of this key's object, the one seen last first
}

// table is who holds what. It is made anew with each change and never changed.
type table struct {
	mine  []bool
	terms []lease.Term
	at    []netip.AddrPort
	held  int
}

// View is what traffic may know. It is never changed once it is there.
type View struct {
	At      Micros // when it was made
	Self    membership.Member
	Fit     bool
	Others  []membership.Member // that are there, this router not among them
	Map     *shardmap.Map       // nil: none
	State   shardmap.State
	Members membership.Tally
	Duties  lease.Tally
	Shards  shardmap.Tally
	Line    peers.Tally
	Rows    Rows
	Sharers fleetsize.Sharers // zero: not counted
	holds   *table
}

// Rows is how rows stand.
type Rows struct {
	Held  int
	State recovery.State
	Tally directory.Tally
	Back  recovery.Tally
	Where location.Tally
}

// Mine tells whether a duty is this router's at a time.
func (v *View) Mine(no lease.No, now Micros) bool {
	return v.Fit && now-v.At <= viewStale && int(no) < len(v.holds.mine) && v.holds.mine[no]
}

// Where tells who is known to hold a duty.
func (v *View) Where(no lease.No) (netip.AddrPort, bool) {
	if int(no) >= len(v.holds.at) {
		return netip.AddrPort{}, false
	}
	return v.holds.at[no], v.holds.at[no].IsValid()
}

// Held is how many duties this router holds.
func (v *View) Held() int { return v.holds.held }

// Parts are what control is made of.
type Parts struct {
	Self   membership.Self
	Seed   uint32
	Known  []membership.Peer
	Duties int
	Maps   bool
	Rows   bool              // rows are kept, and recalled after a restart
	Where  bool              // others are asked where objects lie
	Dir    string            // where a snapshot of the rows is kept; empty: none is
	Named  fleetsize.Sharers // whom limits are shared with by the settings; zero: who is there is not counted
	Clock  func() Micros
	Ground transport.Ground
	Log    *logrus.Logger
}

// Control is the goroutine and what it owns.
type Control struct {
	parts  Parts
	line   *peers.Line // nil: this router shares with nobody
	tier   *node.Tier
	duties *lease.Duties
	view   atomic.Pointer[View]
	states map[membership.Mark]membership.State
	holds  *table
	edits  uint64
	others []membership.Member
	stale  bool // others is to be made anew

	mu    sync.Mutex
	in    []Letter // for traffic
	out   []Letter // of traffic's, to be sent
	news  []directory.Row
	wants []shardmap.Key
	spare []directory.Row
	calls []func()
	lost  uint64
	turns transport.Turns

	caught atomic.Bool

	asked map[uint32]func(scatter.Result, error) // queries under way

	saves chan recovery.Kept // nil: none are kept
	kept  Micros
}

// New makes control. Line carries its datagrams; nil: it shares with nobody.
func New(parts Parts, line *peers.Line) *Control {
	c := &Control{parts: parts, line: line, states: map[membership.Mark]membership.State{}, asked: map[uint32]func(scatter.Result, error){}, stale: true}
	now := parts.Clock()
	c.tier = node.New(now, parts.Self, post{c}, parts.Seed^0x6d656d62, membership.OrdinaryPace, membership.OrdinaryDoubt,
		node.Parts{Maps: parts.Maps, Rows: parts.Rows, Recall: parts.Rows, Query: parts.Rows, Where: parts.Where, Named: parts.Named})
	c.tier.Members.Known(parts.Known)
	c.duties = lease.New(now, c.tier.Members.Self(), dutyPost{c}, parts.Seed^0x64757479, parts.Duties, lease.OrdinaryEvenness)
	if parts.Rows && parts.Dir != "" {
		c.restore(now)
		c.saves, c.kept = make(chan recovery.Kept), now
	}
	c.show(now)
	return c
}

// Run starts the goroutine, and one that writes snapshots if there are any to be written.
func (c *Control) Run() {
	if c.saves != nil {
		go c.save()
	}
	c.turns = c.parts.Ground.Turns(c.beat, c.ended)
}

// View is what may be known now.
func (c *Control) View() *View { return c.view.Load() }

// Take gives traffic its letters.
func (c *Control) Take() []Letter {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.in
	c.in = nil
	return in
}

// Send has a datagram of traffic's sent.
func (c *Control) Send(kind byte, to netip.AddrPort, b []byte) {
	if c.line == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) < lettersMost {
		c.out = append(c.out, Letter{Kind: kind, From: to, B: append([]byte(nil), b...)})
	}
}

// Saw has news of an object told to its keepers. News beyond what waits already is dropped: it is seen again.
func (c *Control) Saw(r directory.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.news) < newsMost {
		c.news = append(c.news, r)
	}
}

// Purged has a purge taken up by rows.
func (c *Control) Purged(k shardmap.Key, g directory.Group, at Micros) {
	c.call(func() { c.tier.Purged(c.parts.Clock(), k, g, at) })
}

// Want wishes to know which caches hold an object. Wishes beyond what waits already are dropped.
func (c *Control) Want(k shardmap.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.wants) < wantsMost {
		c.wants = append(c.wants, k)
	}
}

// Caught tells that all purges up to now have been told.
func (c *Control) Caught() {
	if c.caught.CompareAndSwap(false, true) {
		c.call(func() { c.tier.Caught = true })
	}
}

// Ask asks the sites that could hold matching rows. Done is called once, by control's goroutine, by the time given or soon after.
func (c *Control) Ask(q summary.Query, limit int, until Micros, done func(r scatter.Result, err error)) {
	c.call(func() {
		no, err := c.tier.Query(c.parts.Clock(), q, limit, until)
		if err != nil {
			done(scatter.Result{}, err)
			return
		}
		c.asked[no] = done
	})
}

// call has something done by the goroutine at its next beat.
func (c *Control) call(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, f)
}

// Pin has the map of keys be one that the operator has written; nil: no more.
func (c *Control) Pin(ranges []shardmap.Range, keepers []membership.Mark) {
	c.call(func() {
		if why := c.tier.Shards.Pin(ranges, keepers); why != nil {
			c.parts.Log.WithError(why).Error("shards: the operator's map can't be used")
		}
	})
}

// restore gives this life the rows of the one before, if they may be used.
func (c *Control) restore(now Micros) {
	self := c.tier.Members.Self().Self
	k, err := snapshot.Load(c.parts.Dir, self.Mark)
	if errors.Is(err, snapshot.ErrNone) {
		return
	}
	var rows []directory.Row
	if err == nil {
		rows, err = k.Read(now, self)
	}
	if err != nil {
		c.parts.Log.WithError(err).Warn("snapshot: not used, rows are recalled from other routers alone")
		return
	}
	c.tier.Back.Restore(rows)
}

// keep hands a snapshot to the goroutine that writes it. While one is being written the next is left out: a slow disk holds up nothing.
func (c *Control) keep(now Micros) {
	if c.saves == nil || now-c.kept < keepEvery || !c.tier.Back.Leave().Serve {
		return
	}
	c.kept = now
	select {
	case c.saves <- recovery.Keep(now, c.tier.Members.Self().Self, c.tier.Rows):
	default:
	}
}

func (c *Control) save() {
	failed := false
	for k := range c.saves {
		err := snapshot.Save(c.parts.Dir, k)
		if (err != nil) != failed {
			failed = err != nil
			c.parts.Log.WithError(err).WithField("failing", failed).Warn("snapshot: writing")
		}
	}
}

// Use takes other keys.
func (c *Control) Use(keys *peers.Keys) {
	c.call(func() {
		if c.line != nil {
			c.line.Use(keys)
		}
	})
}

// Leave tells peers that this router is to go, and hands its duties over.
func (c *Control) Leave() {
	c.call(func() {
		now := c.parts.Clock()
		c.tier.Leave(now)
		c.duties.Member(now, c.tier.Members.Self())
	})
}

// Gone tells peers that this router ends now; the next beat does it, and Stop is to follow.
func (c *Control) Gone() {
	c.call(func() { c.tier.Members.Gone(c.parts.Clock()) })
}

// Stop ends control at once. One that hangs is not waited for.
func (c *Control) Stop() { c.turns.Stop(goneWait) }

// beat is one call of the timer; it gives the span until the next.
func (c *Control) beat() time.Duration {
	now := c.parts.Ground.Now()
	c.tick(now)
	return max(beatEvery-c.parts.Ground.Now().Sub(now), time.Millisecond)
}

func (c *Control) ended() {
	if c.line != nil {
		c.line.Close()
	}
	if c.saves != nil {
		close(c.saves)
	}
}

// tick does what is due. A fault in it ends nothing but this beat.
func (c *Control) tick(now time.Time) {
	defer func() {
		if fault := recover(); fault != nil {
			c.parts.Log.WithFields(logrus.Fields{"fault": fault, "stack": string(debug.Stack())}).Error("control: a beat broke off")
		}
	}()
	c.mu.Lock()
	calls, out := c.calls, c.out
	news, wants := c.news, c.wants
	c.wants = nil
	c.calls, c.out, c.news, c.spare = nil, nil, c.spare[:0], news
	c.mu.Unlock()
	for _, f := range calls {
		f()
	}
	for i := range out {
		c.line.Send(out[i].Kind, out[i].From, out[i].B)
	}
	at := c.parts.Clock()
	for i := range news {
		c.tier.Rows.Saw(at, news[i])
	}
	for _, k := range wants {
		c.tier.Want(at, k)
	}
	if c.line != nil {
		c.line.Beat(now)
	}
	c.tier.Tick(at)
	c.duties.Tick(at, c.tier.Members.Standing())
	c.keep(at)
	c.show(at)
}

// show makes the view of this moment.
func (c *Control) show(now Micros) {
	if c.holds == nil || c.edits != c.duties.Edits() {
		c.edits = c.duties.Edits()
		t := &table{held: c.duties.Held()}
		self := c.tier.Members.Self().Address
		for no := range c.duties.All() {
			at, term, held := c.duties.At(lease.No(no))
			mine := held && c.duties.Own(lease.No(no))
			if !held || at == self && !mine {
				at = netip.AddrPort{}
			}
			t.mine, t.terms, t.at = append(t.mine, mine), append(t.terms, term), append(t.at, at)
		}
		c.holds = t
	}
	if c.stale {
		c.stale = false
		c.others = nil
		c.tier.Members.Each(func(m membership.Member) {
			if m.State.Present() {
				c.others = append(c.others, m)
			}
		})
	}
	v := &View{At: now, Self: c.tier.Members.Self(), Fit: c.duties.Fit(), Others: c.others, Members: c.tier.Members.Tally(),
		Duties: c.duties.Tally(), holds: c.holds}
	if s := c.tier.Shards; s != nil {
		v.Map, v.State = s.Map()
		v.Shards = s.Tally()
	}
	if r := c.tier.Rows; r != nil {
		v.Rows = Rows{Held: r.Rows(), Tally: r.Tally(), State: c.tier.Back.State(), Back: c.tier.Back.Tally()}
	}
	if w := c.tier.Where; w != nil {
		v.Rows.Where = w.Tally()
	}
	if p := c.tier.Present; p != nil {
		v.Sharers = p.Sharers()
	}
	if c.line != nil {
		v.Line = c.line.Tally()
	}
	c.view.Store(v)
}

// Heard takes a datagram of a peer.
func (c *Control) Heard(kind byte, from netip.AddrPort, held []byte) {
	now := c.parts.Clock()
	switch {
	case c.tier.Hear(now, node.Kind(kind), from, held):
	case kind == ofDuties:
		_ = c.duties.Hear(now, from, held) // what can't be read is counted where it is read
	default:
		c.letter(Letter{Kind: kind, From: from, B: append([]byte(nil), held...)})
	}
}

func (c *Control) letter(l Letter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) >= lettersMost {
		c.lost++
		return
	}
	c.in = append(c.in, l)
}

// post takes what the tier gives out.
type post struct{ c *Control }

// Send sends what is said between routers.
func (p post) Send(k node.Kind, to netip.AddrPort, b []byte) {
	if p.c.line != nil {
		p.c.line.Send(byte(k), to, b)
	}
}

// Changed takes a change of membership.
func (p post) Changed(m membership.Member) {
	c := p.c
	was := c.states[m.Mark]
	c.states[m.Mark], c.stale = m.State, true
	if m.State != was && m.State != membership.Suspect && !(was == membership.Suspect && m.State == membership.Alive) {
		c.parts.Log.WithFields(logrus.Fields{"peer": m.Address, "state": m.State, "life": m.Life}).Info("members: a router's state")
	}
	c.duties.Member(c.parts.Clock(), m)
}

// Note logs a change of mode.
func (p post) Note(line string) { p.c.parts.Log.Info(line) }

// Moved needs nothing: the view has the map.
func (p post) Moved(*shardmap.Map, shardmap.State) {}

// Recalled hands a row on to traffic.
func (p post) Recalled(r directory.Row) { p.c.letter(Letter{Row: r, Recalled: true}) }

// Back logs how far this router has come back.
func (p post) Back(state recovery.State) {
	p.c.parts.Log.WithField("state", state).Info("comeback: a step on")
}

// Held hands on to traffic which caches hold an object.
func (p post) Held(k shardmap.Key, copies []directory.Copy) {
	p.c.letter(Letter{Key: k, Held: append([]directory.Copy(nil), copies...)})
}

// Touches logs what a group's purge touches.
func (p post) Touches(f purgeaudit.Finding) {
	most := 0
	if len(f.Places) > 0 {
		most = f.Places[0].Objects
	}
	p.c.parts.Log.WithFields(logrus.Fields{"group": uint64(f.Group), "objects": f.Objects, "caches": len(f.Places), "most_at_one": most,
		"complete": f.Complete}).Info("purge: copies from before it")
}

// Found gives a result to who asked.
func (p post) Found(no uint32, r scatter.Result) {
	if done := p.c.asked[no]; done != nil {
		delete(p.c.asked, no)
		done(r, nil)
	}
}

// dutyPost takes what duties give out.
type dutyPost struct{ c *Control }

// Send sends what is said of duties.
func (p dutyPost) Send(to netip.AddrPort, b []byte) { post(p).Send(ofDuties, to, b) }

// Took tells traffic of a duty that is this router's from now on.
func (p dutyPost) Took(no lease.No, _ lease.Term) { p.c.letter(Letter{Took: no, Duty: true}) }

// Yielded hears of a duty that is so no more: its work is found not to be ours when it is due.
func (p dutyPost) Yielded(lease.No, lease.Term) {}

// Note logs a change of mode.
func (p dutyPost) Note(line string) { post(p).Note(line) }
