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

// Message is what traffic is to hear: a datagram of a kind that is not control's, or a duty that was taken.
type Message struct {
	Kind     byte
	From     netip.AddrPort
	B        []byte
	Took     lease.ID
	Duty     bool
	Row      directory.Record // that was recalled
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

// Snapshot is what traffic may know. It is never changed once it is there.
type Snapshot struct {
	CreatedAt       Micros // when it was made
	Self            membership.Member
	Fit             bool
	Peers           []membership.Member // that are there, this router not among them
	ShardMap        *shardmap.Map       // nil: none
	ShardMapState   shardmap.State
	MembershipStats membership.Stats
	LeaseStats      lease.Stats
	ShardMapStats   shardmap.Stats
	ChannelStats    peers.Stats
	Directory       DirectoryStatus
	FleetSize       fleetsize.Size // zero: not counted
	holds           *table
}

// DirectoryStatus is how rows stand.
type DirectoryStatus struct {
	Records       int
	RecoveryState recovery.State
	Stats         directory.Stats
	RecoveryStats recovery.Stats
	LocationStats location.Stats
}

// HoldsLease tells whether a duty is this router's at a time.
func (v *Snapshot) HoldsLease(no lease.ID, now Micros) bool {
	return v.Fit && now-v.CreatedAt <= viewStale && int(no) < len(v.holds.mine) && v.holds.mine[no]
}

// LeaseHolder tells who is known to hold a duty.
func (v *Snapshot) LeaseHolder(no lease.ID) (netip.AddrPort, bool) {
	if int(no) >= len(v.holds.at) {
		return netip.AddrPort{}, false
	}
	return v.holds.at[no], v.holds.at[no].IsValid()
}

// HeldLeases is how many duties this router holds.
func (v *Snapshot) HeldLeases() int { return v.holds.held }

// Config are what control is made of.
type Config struct {
	Self            membership.Identity
	Seed            uint32
	Peers           []membership.Peer
	Leases          int
	ShardMap        bool
	Directory       bool           // rows are kept, and recalled after a restart
	Locations       bool           // others are asked where objects lie
	SnapshotDir     string         // where a snapshot of the rows is kept; empty: none is
	StaticFleetSize fleetsize.Size // whom limits are shared with by the settings; zero: who is there is not counted
	Clock           func() Micros
	Runtime         transport.Runtime
	Log             *logrus.Logger
}

// Controller is the goroutine and what it owns.
type Controller struct {
	parts  Config
	line   *peers.Channel // nil: this router shares with nobody
	tier   *node.Node
	duties *lease.Manager
	view   atomic.Pointer[Snapshot]
	states map[membership.NodeID]membership.State
	holds  *table
	edits  uint64
	others []membership.Member
	stale  bool // others is to be made anew

	mu    sync.Mutex
	in    []Message // for traffic
	out   []Message // of traffic's, to be sent
	news  []directory.Record
	wants []shardmap.Key
	spare []directory.Record
	calls []func()
	lost  uint64
	turns transport.Loop

	caught atomic.Bool

	asked map[uint32]func(scatter.Result, error) // queries under way

	saves chan recovery.SavedState // nil: none are kept
	kept  Micros
}

// New makes control. Line carries its datagrams; nil: it shares with nobody.
func New(parts Config, line *peers.Channel) *Controller {
	c := &Controller{parts: parts, line: line, states: map[membership.NodeID]membership.State{}, asked: map[uint32]func(scatter.Result, error){}, stale: true}
	now := parts.Clock()
	c.tier = node.New(now, parts.Self, post{c}, parts.Seed^0x6d656d62, membership.DefaultTiming, membership.DefaultSuspicion,
		node.Features{ShardMap: parts.ShardMap, Directory: parts.Directory, Recovery: parts.Directory, Query: parts.Directory, Location: parts.Locations, ConfiguredSize: parts.StaticFleetSize})
	c.tier.Membership.AddPeers(parts.Peers)
	c.duties = lease.New(now, c.tier.Membership.Self(), dutyPost{c}, parts.Seed^0x64757479, parts.Leases, lease.DefaultBalance)
	if parts.Directory && parts.SnapshotDir != "" {
		c.restore(now)
		c.saves, c.kept = make(chan recovery.SavedState), now
	}
	c.show(now)
	return c
}

// Run starts the goroutine, and one that writes snapshots if there are any to be written.
func (c *Controller) Run() {
	if c.saves != nil {
		go c.save()
	}
	c.turns = c.parts.Runtime.StartLoop(c.beat, c.ended)
}

// Snapshot is what may be known now.
func (c *Controller) Snapshot() *Snapshot { return c.view.Load() }

// TakeMessages gives traffic its letters.
func (c *Controller) TakeMessages() []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.in
	c.in = nil
	return in
}

// Send has a datagram of traffic's sent.
func (c *Controller) Send(kind byte, to netip.AddrPort, b []byte) {
	if c.line == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.out) < lettersMost {
		c.out = append(c.out, Message{Kind: kind, From: to, B: append([]byte(nil), b...)})
	}
}

// ReportObject has news of an object told to its keepers. News beyond what waits already is dropped: it is seen again.
func (c *Controller) ReportObject(r directory.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.news) < newsMost {
		c.news = append(c.news, r)
	}
}

// Purge has a purge taken up by rows.
func (c *Controller) Purge(k shardmap.Key, g directory.Group, at Micros) {
	c.call(func() { c.tier.ObservePurge(c.parts.Clock(), k, g, at) })
}

// Locate wishes to know which caches hold an object. Wishes beyond what waits already are dropped.
func (c *Controller) Locate(k shardmap.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.wants) < wantsMost {
		c.wants = append(c.wants, k)
	}
}

// PurgesCaughtUp tells that all purges up to now have been told.
func (c *Controller) PurgesCaughtUp() {
	if c.caught.CompareAndSwap(false, true) {
		c.call(func() { c.tier.PurgesCaughtUp = true })
	}
}

// Query asks the sites that could hold matching rows. Done is called once, by control's goroutine, by the time given or soon after.
func (c *Controller) Query(q summary.Query, limit int, until Micros, done func(r scatter.Result, err error)) {
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
func (c *Controller) call(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, f)
}

// PinShardMap has the map of keys be one that the operator has written; nil: no more.
func (c *Controller) PinShardMap(ranges []shardmap.Range, keepers []membership.NodeID) {
	c.call(func() {
		if why := c.tier.Shards.Pin(ranges, keepers); why != nil {
			c.parts.Log.WithError(why).Error("shards: the operator's map can't be used")
		}
	})
}

// restore gives this life the rows of the one before, if they may be used.
func (c *Controller) restore(now Micros) {
	self := c.tier.Membership.Self().Identity
	k, err := snapshot.Load(c.parts.SnapshotDir, self.ID)
	if errors.Is(err, snapshot.ErrNotFound) {
		return
	}
	var rows []directory.Record
	if err == nil {
		rows, err = k.Decode(now, self)
	}
	if err != nil {
		c.parts.Log.WithError(err).Warn("snapshot: not used, rows are recalled from other routers alone")
		return
	}
	c.tier.Recovery.Restore(rows)
}

// keep hands a snapshot to the goroutine that writes it. While one is being written the next is left out: a slow disk holds up nothing.
func (c *Controller) keep(now Micros) {
	if c.saves == nil || now-c.kept < keepEvery || !c.tier.Recovery.Permissions().ServeRecords {
		return
	}
	c.kept = now
	select {
	case c.saves <- recovery.Save(now, c.tier.Membership.Self().Identity, c.tier.Directory):
	default:
	}
}

func (c *Controller) save() {
	failed := false
	for k := range c.saves {
		err := snapshot.Save(c.parts.SnapshotDir, k)
		if (err != nil) != failed {
			failed = err != nil
			c.parts.Log.WithError(err).WithField("failing", failed).Warn("snapshot: writing")
		}
	}
}

// SetKeys takes other keys.
func (c *Controller) SetKeys(keys *peers.Keys) {
	c.call(func() {
		if c.line != nil {
			c.line.SetKeys(keys)
		}
	})
}

// Leave tells peers that this router is to go, and hands its duties over.
func (c *Controller) Leave() {
	c.call(func() {
		now := c.parts.Clock()
		c.tier.Leave(now)
		c.duties.MemberChanged(now, c.tier.Membership.Self())
	})
}

// AnnounceDeparture tells peers that this router ends now; the next beat does it, and Stop is to follow.
func (c *Controller) AnnounceDeparture() {
	c.call(func() { c.tier.Membership.Shutdown(c.parts.Clock()) })
}

// Stop ends control at once. One that hangs is not waited for.
func (c *Controller) Stop() { c.turns.Stop(goneWait) }

// beat is one call of the timer; it gives the span until the next.
func (c *Controller) beat() time.Duration {
	now := c.parts.Runtime.Now()
	c.tick(now)
	return max(beatEvery-c.parts.Runtime.Now().Sub(now), time.Millisecond)
}

func (c *Controller) ended() {
	if c.line != nil {
		c.line.Close()
	}
	if c.saves != nil {
		close(c.saves)
	}
}

// tick does what is due. A fault in it ends nothing but this beat.
func (c *Controller) tick(now time.Time) {
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
		c.tier.Directory.ObserveRequest(at, news[i])
	}
	for _, k := range wants {
		c.tier.Locate(at, k)
	}
	if c.line != nil {
		c.line.Tick(now)
	}
	c.tier.Tick(at)
	c.duties.Tick(at, c.tier.Membership.Contact())
	c.keep(at)
	c.show(at)
}

// show makes the view of this moment.
func (c *Controller) show(now Micros) {
	if c.holds == nil || c.edits != c.duties.Revision() {
		c.edits = c.duties.Revision()
		t := &table{held: c.duties.HeldCount()}
		self := c.tier.Membership.Self().Address
		for no := range c.duties.Count() {
			at, term, held := c.duties.Lookup(lease.ID(no))
			mine := held && c.duties.AssignedHere(lease.ID(no))
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
		c.tier.Membership.Each(func(m membership.Member) {
			if m.State.Present() {
				c.others = append(c.others, m)
			}
		})
	}
	v := &Snapshot{CreatedAt: now, Self: c.tier.Membership.Self(), Fit: c.duties.InContact(), Peers: c.others, MembershipStats: c.tier.Membership.Stats(),
		LeaseStats: c.duties.Stats(), holds: c.holds}
	if s := c.tier.Shards; s != nil {
		v.ShardMap, v.ShardMapState = s.Map()
		v.ShardMapStats = s.Stats()
	}
	if r := c.tier.Directory; r != nil {
		v.Directory = DirectoryStatus{Records: r.Len(), Stats: r.Stats(), RecoveryState: c.tier.Recovery.State(), RecoveryStats: c.tier.Recovery.Stats()}
	}
	if w := c.tier.Locator; w != nil {
		v.Directory.LocationStats = w.Stats()
	}
	if p := c.tier.FleetSize; p != nil {
		v.FleetSize = p.Size()
	}
	if c.line != nil {
		v.ChannelStats = c.line.Stats()
	}
	c.view.Store(v)
}

// HandleDatagram takes a datagram of a peer.
func (c *Controller) HandleDatagram(kind byte, from netip.AddrPort, held []byte) {
	now := c.parts.Clock()
	switch {
	case c.tier.Receive(now, node.Kind(kind), from, held):
	case kind == ofDuties:
		_ = c.duties.Receive(now, from, held) // what can't be read is counted where it is read
	default:
		c.letter(Message{Kind: kind, From: from, B: append([]byte(nil), held...)})
	}
}

func (c *Controller) letter(l Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) >= lettersMost {
		c.lost++
		return
	}
	c.in = append(c.in, l)
}

// post takes what the tier gives out.
type post struct{ c *Controller }

// Send sends what is said between routers.
func (p post) Send(k node.Kind, to netip.AddrPort, b []byte) {
	if p.c.line != nil {
		p.c.line.Send(byte(k), to, b)
	}
}

// Changed takes a change of membership.
func (p post) Changed(m membership.Member) {
	c := p.c
	was := c.states[m.ID]
	c.states[m.ID], c.stale = m.State, true
	if m.State != was && m.State != membership.Suspect && !(was == membership.Suspect && m.State == membership.Alive) {
		c.parts.Log.WithFields(logrus.Fields{"peer": m.Address, "state": m.State, "life": m.Incarnation}).Info("members: a router's state")
	}
	c.duties.MemberChanged(c.parts.Clock(), m)
}

// Note logs a change of mode.
func (p post) Note(line string) { p.c.parts.Log.Info(line) }

// ShardMapChanged needs nothing: the view has the map.
func (p post) ShardMapChanged(*shardmap.Map, shardmap.State) {}

// RecordRecovered hands a row on to traffic.
func (p post) RecordRecovered(r directory.Record) { p.c.letter(Message{Row: r, Recalled: true}) }

// RecoveryChanged logs how far this router has come back.
func (p post) RecoveryChanged(state recovery.State) {
	p.c.parts.Log.WithField("state", state).Info("comeback: a step on")
}

// CopiesLocated hands on to traffic which caches hold an object.
func (p post) CopiesLocated(k shardmap.Key, copies []directory.Copy) {
	p.c.letter(Message{Key: k, Held: append([]directory.Copy(nil), copies...)})
}

// PurgeAudited logs what a group's purge touches.
func (p post) PurgeAudited(f purgeaudit.Finding) {
	most := 0
	if len(f.Caches) > 0 {
		most = f.Caches[0].Objects
	}
	p.c.parts.Log.WithFields(logrus.Fields{"group": uint64(f.Group), "objects": f.Objects, "caches": len(f.Caches), "most_at_one": most,
		"complete": f.Complete}).Info("purge: copies from before it")
}

// QueryDone gives a result to who asked.
func (p post) QueryDone(no uint32, r scatter.Result) {
	if done := p.c.asked[no]; done != nil {
		delete(p.c.asked, no)
		done(r, nil)
	}
}

// dutyPost takes what duties give out.
type dutyPost struct{ c *Controller }

// Send sends what is said of duties.
func (p dutyPost) Send(to netip.AddrPort, b []byte) { post(p).Send(ofDuties, to, b) }

// Acquired tells traffic of a duty that is this router's from now on.
func (p dutyPost) Acquired(no lease.ID, _ lease.Term) { p.c.letter(Message{Took: no, Duty: true}) }

// Released hears of a duty that is so no more: its work is found not to be ours when it is due.
func (p dutyPost) Released(lease.ID, lease.Term) {}

// Note logs a change of mode.
func (p dutyPost) Note(line string) { post(p).Note(line) }
