// Package upkeep runs the cores of shared background work on sockets: it ties members, duties, ageing copies, sightings and
// the scheduler to the line between routers, and carries out what they say by way of the service. It decides nothing.
package backgroundwork

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/background/refresh"
	"threadrun/background/scheduler"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/health"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/control"
	"threadrun/internal/frontend"
	"threadrun/internal/operator"
	"threadrun/internal/peers"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// Host is the service, as background work needs it. All calls come under its lock, and none from within the module.
type Host interface {
	Now() routing.Micros
	Router() *routing.Router // with its clock set
	Way(ask *frontend.Request) (routing.Errand, bool)
	Arrive(from frontend.Client, no uint64, ask *frontend.Request) bool
	Caches(f func(id routing.CacheID, mark uint64, tier routing.Tier))
	Tier(id routing.CacheID) routing.Tier
	Bears(name uint64) routing.CacheID // the cache of the branch that bears this name in its present start, or NoCache
	Probe(id routing.CacheID, limit time.Duration) uint64
}

// Kinds of datagrams between routers.
const (
	ofAgeing byte = iota + 3 // those before are control's
	ofSightings
)

const (
	renewing scheduler.ClassID = iota
	probing
)

const (
	perBeat    = 16 // chores begun at a time
	tendEvery  = time.Second
	renewLeast = 500 * clock.Millisecond // a renewal has so long at least, and Most at most
	renewMost  = 3 * clock.Second
	probeMost  = 4096 // caches probed
)

// Upkeep is one router's background work.
type Upkeep struct {
	host      Host
	log       *logrus.Logger
	control   *control.Control
	ageing    *refresh.Ageing
	sightings *health.Sightings
	chores    *scheduler.Scheduler
	shares    lease.Shares
	shared    bool // with other routers
	rows      bool // are kept for the fleet
	asks      bool // others are asked where objects lie
	recalled  uint64
	held      uint64
	sharers   fleetsize.Sharers // as the module has them; zero: by the settings
	sharedAt  routing.Micros
	zone      uint16
	renews    bool
	probes    bool
	every     routing.Micros
	timeout   time.Duration
	out       map[uint64]probe
	cases     []refresh.UseCase
	marks     uint64
	tended    time.Time
}

// ear hands on to control what the line hears: the line is there first, as control's router is named by its address.
type ear struct{ c *control.Control }

// Heard takes a datagram of a peer.
func (e *ear) Heard(kind byte, from netip.AddrPort, held []byte) { e.c.Heard(kind, from, held) }

// Place is where the deployment has a router stand among the others.
type Place struct {
	Listen netip.AddrPort   // for datagrams
	Own    netip.AddrPort   // where others reach it; not valid: where it listens
	All    []netip.AddrPort // where each is reached
	Zone   int
}

// New makes background work as an operator's file says.
func New(file *operator.File, host Host, log *logrus.Logger, at Place, ground transport.Ground, seed uint32, cases []routing.UseCase) (*Upkeep, error) {
	now := host.Now()
	u := &Upkeep{host: host, log: log, zone: uint16(at.Zone), out: map[uint64]probe{}, shared: file.Members.On, rows: file.Rows.On, asks: file.Asking}
	if file.Renewing.On {
		u.shares.Renewing = file.Renewing.Shares
	}
	if file.Probing.On {
		u.shares.Probing = file.Probing.Shares
	}
	parts := control.Parts{Seed: seed, Duties: u.shares.All(), Maps: file.Shards.On, Rows: file.Rows.On, Where: file.Asking, Dir: file.Rows.Dir,
		Clock: host.Now, Ground: ground, Log: log,
		Self: membership.Self{Mark: membership.Mark(seed) + 1, Zone: u.zone, Weight: uint16(file.Members.Weight),
			Life: membership.Life(now / clock.Millisecond)}}
	if file.Presence {
		crew, fleet := host.Router().Crew()
		parts.Named = fleetsize.Sharers{Zone: crew, Fleet: fleet}
	}
	m := file.Members
	var keys *peers.Keys
	if m.On {
		var err error
		if keys, err = peers.ReadKeys(m.KeyFile); err != nil {
			return nil, file.Fault("members.on", "needs its key file: %v", err)
		}
		if m.Listen.IsValid() { // another place than the deployment's
			at.Listen, at.Own = m.Listen, netip.AddrPort{}
		}
		if !at.Listen.IsValid() {
			return nil, file.Fault("members.on", "needs an address: 'members.listen', or the deployment's 'peer_listen'")
		}
		if len(m.Peers) > 0 {
			at.All = m.Peers
		}
		for _, a := range at.All {
			if len(m.Seeds) == 0 {
				parts.Known = append(parts.Known, membership.Peer{Mark: markOf(a), Address: a})
			}
		}
		for _, a := range m.Seeds {
			parts.Known = append(parts.Known, membership.Peer{Address: a})
		}
	}
	for _, c := range cases {
		u.cases = append(u.cases, refresh.UseCase{Fresh: c.Fresh, Harmless: c.Effect == routing.Harmless && !c.Write})
	}
	u.ageing = refresh.New(now, u.cases, u, agePost{u})
	u.sightings = health.New(now, seed^0x73696768, sightPost{u})
	u.chores = scheduler.New(now, seed^0x63686f72, []scheduler.Class{
		renewing: {Name: "renewing", Priority: 1, Most: file.Renewing.Queue, Spend: allow(file.Renewing.Spend), Tries: 2,
			Backoff: 500 * clock.Millisecond},
		probing: {Name: "probing", Priority: 2, Most: probeMost, Spend: allow(file.Probing.Spend), Tries: 1},
	}, scheduler.Ways{Cache: allow(file.Ways.Cache), Parent: allow(file.Ways.Parent), Link: allow(file.Ways.Link),
		Origin: allow(file.Ways.Origin)}, u.Note)
	var line *peers.Line
	if m.On {
		hear := &ear{}
		way, err := ground.Datagrams(at.Listen)
		if err != nil {
			return nil, file.Fault("members.on", "can't listen: %v", err)
		}
		line = peers.Over(way, keys, hear, log, ground.Random)
		parts.Self.Address = line.Address()
		for _, a := range [...]netip.AddrPort{at.Own, m.Address} {
			if a.IsValid() {
				parts.Self.Address = a
			}
		}
		parts.Self.Mark = markOf(parts.Self.Address)
		u.control = control.New(parts, line)
		hear.c = u.control
	} else {
		u.control = control.New(parts, nil)
	}
	u.control.Run()
	u.set(file)
	log.WithFields(logrus.Fields{"members": m.On, "renewing": u.renews, "probing": u.probes, "duties": u.shares.All()}).
		Info("upkeep: background work is on")
	return u, nil
}

// Wanted tells whether an operator's file switches anything on.
func Wanted(file *operator.File) bool {
	return file.Members.On || file.Renewing.On || file.Probing.On
}

// set takes what may change in service.
func (u *Upkeep) set(file *operator.File) {
	u.renews = file.Renewing.On && u.shares.Renewing > 0
	u.probes = file.Probing.On && u.shares.Probing > 0
	u.every, u.timeout = routing.Micros(file.Probing.Every.Microseconds()), file.Probing.Timeout
	u.host.Router().RenewAhead(u.renews)
	u.host.Router().AskOthers(u.asks)
	u.chores.Spend(renewing, allow(file.Renewing.Spend))
	u.chores.Spend(probing, allow(file.Probing.Spend))
	u.chores.Ways(scheduler.Ways{Cache: allow(file.Ways.Cache), Parent: allow(file.Ways.Parent), Link: allow(file.Ways.Link),
		Origin: allow(file.Ways.Origin)})
	if file.Shards.On {
		var keepers []membership.Mark
		for _, a := range file.Shards.Keepers {
			keepers = append(keepers, markOf(a))
		}
		u.control.Pin(file.Shards.Pin, keepers)
	}
}

// Reload takes another file, which has been checked: keys, what is switched on and what may be spent.
func (u *Upkeep) Reload(file *operator.File) error {
	if u.shared && file.Members.On {
		keys, err := peers.ReadKeys(file.Members.KeyFile)
		if err != nil {
			return file.Fault("members.on", "needs its key file: %v", err)
		}
		u.control.Use(keys)
	}
	u.set(file)
	return nil
}

func allow(s operator.Spend) scheduler.Allowance {
	return scheduler.Allowance{Works: s.Works, KB: s.KB, Out: s.Out}
}

func markOf(a netip.AddrPort) membership.Mark { return operator.MarkOf(a) }

// Beat does what is due. It is called under the lock, some tens of times a second.
func (u *Upkeep) Beat(now time.Time) {
	for _, l := range u.control.Take() {
		u.take(&l)
	}
	if s := u.control.View().Sharers; s != u.sharers && s.Fleet > 0 {
		u.share(s)
	}
	at := u.host.Now()
	u.ageing.Tick(at)
	u.sightings.Tick(at)
	u.chores.Pressed(at, u.host.Router().Pressed())
	if u.probes {
		u.due(at)
	}
	for range perBeat {
		ticket, c, route, ok := u.chores.Next(at, u.where)
		if !ok {
			break
		}
		if c.Class == probing {
			u.probe(at, ticket, &c, routing.CacheID(route.Cache))
		} else {
			u.renew(at, ticket, &c)
		}
	}
	if now.Sub(u.tended) >= tendEvery {
		u.tended = now
		u.chores.Tend(at)
	}
}

// take takes a letter of control's.
func (u *Upkeep) take(l *control.Letter) {
	now := u.host.Now()
	switch { // what can't be read is counted where it is read
	case l.Recalled:
		u.host.Router().Taught(uint64(l.Row.Key), l.Row.Gap)
		u.recalled++
	case len(l.Held) > 0:
		for _, c := range l.Held {
			if id := u.host.Bears(uint64(c.Cache)); id != routing.NoCache {
				u.host.Router().Held(uint64(l.Key), id, c.Born)
				u.held++
			}
		}
	case l.Duty && int(l.Took) < u.shares.Renewing:
		u.ageing.Took(now, func(w lease.Work) bool {
			of, ok := u.shares.Of(w)
			return ok && of == l.Took
		})
	case l.Kind == ofAgeing:
		_ = u.ageing.Hear(now, l.B)
	case l.Kind == ofSightings:
		_ = u.sightings.Hear(now, l.B)
	}
}

func (u *Upkeep) send(kind byte, to netip.AddrPort, b []byte) { u.control.Send(kind, to, b) }

// Note logs a change of mode.
func (u *Upkeep) Note(line string) { u.log.Info(line) }

// Leave tells peers that this router is to go, and hands its duties over.
func (u *Upkeep) Leave() { u.control.Leave() }

// Left tells whether all duties have been handed over, or there is nobody to take them.
func (u *Upkeep) Left() bool {
	v := u.control.View()
	return v.Held() == 0 || len(v.Others) == 0
}

// Gone tells peers that this router ends now; Stop is to follow.
func (u *Upkeep) Gone() { u.control.Gone() }

// Stop ends all at once.
func (u *Upkeep) Stop() { u.control.Stop() }

// All is how many duties there are.
func (u *Upkeep) All() int { return u.shares.All() }

// Figures are what an observer wants to know.
type Figures struct {
	Members   membership.Tally
	Duties    lease.Tally
	Ageing    refresh.Tally
	Sightings health.Tally
	Renewing  scheduler.Tally
	Probing   scheduler.Tally
	Line      peers.Tally
	Shards    shardmap.Tally
	Map       *shardmap.Map
	MapState  shardmap.State
	Rows      control.Rows
	Recalled  uint64 // rows taken over after the start
	Copies    uint64 // told by others, of caches that are there
	Sharers   fleetsize.Sharers
	Present   int
	Held      int
}

// Figures gives what has happened since the start.
func (u *Upkeep) Figures() Figures {
	v := u.control.View()
	return Figures{Members: v.Members, Duties: v.Duties, Shards: v.Shards, Line: v.Line, Ageing: u.ageing.Tally(),
		Sightings: u.sightings.Tally(), Renewing: u.chores.Tally(renewing), Probing: u.chores.Tally(probing), Present: len(v.Others),
		Held: v.Held(), Rows: v.Rows, Recalled: u.recalled, Copies: u.held, Map: v.Map, MapState: v.State, Sharers: v.Sharers}
}
