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
	PlanBackground(ask *frontend.Request) (routing.ForwardPlan, bool)
	Arrive(from frontend.Client, no uint64, ask *frontend.Request) bool
	EachEndpoint(f func(id routing.EndpointID, mark uint64, tier routing.Tier))
	Tier(id routing.EndpointID) routing.Tier
	EndpointNamed(name uint64) routing.EndpointID // the cache of the branch that bears this name in its present start, or NoCache
	Probe(id routing.EndpointID, limit time.Duration) uint64
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

// Manager is one router's background work.
type Manager struct {
	host      Host
	log       *logrus.Logger
	control   *control.Controller
	ageing    *refresh.Manager
	sightings *health.Reports
	chores    *scheduler.Scheduler
	shares    lease.Partitions
	shared    bool // with other routers
	rows      bool // are kept for the fleet
	asks      bool // others are asked where objects lie
	recalled  uint64
	held      uint64
	sharers   fleetsize.Size // as the module has them; zero: by the settings
	sharedAt  routing.Micros
	zone      uint16
	renews    bool
	probes    bool
	every     routing.Micros
	timeout   time.Duration
	out       map[uint64]probe
	cases     []refresh.Class
	marks     uint64
	tended    time.Time
}

// ear hands on to control what the line hears: the line is there first, as control's router is named by its address.
type ear struct{ c *control.Controller }

// HandleDatagram takes a datagram of a peer.
func (e *ear) HandleDatagram(kind byte, from netip.AddrPort, held []byte) {
	e.c.HandleDatagram(kind, from, held)
}

// PeerAddresses is where the deployment has a router stand among the others.
type PeerAddresses struct {
	Listen     netip.AddrPort   // for datagrams
	Advertised netip.AddrPort   // where others reach it; not valid: where it listens
	Known      []netip.AddrPort // where each is reached
	Zone       int
}

// New makes background work as an operator's file says.
func New(file *operator.File, host Host, log *logrus.Logger, at PeerAddresses, ground transport.Runtime, seed uint32, cases []routing.Class) (*Manager, error) {
	now := host.Now()
	u := &Manager{host: host, log: log, zone: uint16(at.Zone), out: map[uint64]probe{}, shared: file.Membership.Enabled, rows: file.Directory.Enabled, asks: file.SiblingLookup}
	if file.Refresh.Enabled {
		u.shares.Refresh = file.Refresh.Partitions
	}
	if file.HealthChecks.Enabled {
		u.shares.HealthChecks = file.HealthChecks.Partitions
	}
	parts := control.Config{Seed: seed, Leases: u.shares.Count(), ShardMap: file.ShardMap.Enabled, Directory: file.Directory.Enabled, Locations: file.SiblingLookup, SnapshotDir: file.Directory.SnapshotDir,
		Clock: host.Now, Runtime: ground, Log: log,
		Self: membership.Identity{ID: membership.NodeID(seed) + 1, Zone: u.zone, Weight: uint16(file.Membership.Weight),
			Incarnation: membership.Incarnation(now / clock.Millisecond)}}
	if file.DynamicFleetSize {
		crew, fleet := host.Router().FleetSize()
		parts.StaticFleetSize = fleetsize.Size{Zone: crew, Fleet: fleet}
	}
	m := file.Membership
	var keys *peers.Keys
	if m.Enabled {
		var err error
		if keys, err = peers.ReadKeys(m.KeyFile); err != nil {
			return nil, file.KeyError("members.on", "needs its key file: %v", err)
		}
		if m.Listen.IsValid() { // another place than the deployment's
			at.Listen, at.Advertised = m.Listen, netip.AddrPort{}
		}
		if !at.Listen.IsValid() {
			return nil, file.KeyError("members.on", "needs an address: 'members.listen', or the deployment's 'peer_listen'")
		}
		if len(m.Peers) > 0 {
			at.Known = m.Peers
		}
		for _, a := range at.Known {
			if len(m.Seeds) == 0 {
				parts.Peers = append(parts.Peers, membership.Peer{ID: markOf(a), Address: a})
			}
		}
		for _, a := range m.Seeds {
			parts.Peers = append(parts.Peers, membership.Peer{Address: a})
		}
	}
	for _, c := range cases {
		u.cases = append(u.cases, refresh.Class{FreshTime: c.FreshnessLifetime, Idempotent: c.Effect == routing.Idempotent && !c.Write})
	}
	u.ageing = refresh.New(now, u.cases, u, agePost{u})
	u.sightings = health.New(now, seed^0x73696768, sightPost{u})
	u.chores = scheduler.New(now, seed^0x63686f72, []scheduler.Class{
		renewing: {Name: "renewing", Priority: 1, MaxQueued: file.Refresh.MaxQueued, Budget: allow(file.Refresh.Budget), MaxAttempts: 2,
			Backoff: 500 * clock.Millisecond},
		probing: {Name: "probing", Priority: 2, MaxQueued: probeMost, Budget: allow(file.HealthChecks.Budget), MaxAttempts: 1},
	}, scheduler.PathBudgets{Cache: allow(file.BackgroundBudgets.Cache), Parent: allow(file.BackgroundBudgets.Parent), Link: allow(file.BackgroundBudgets.Link),
		Origin: allow(file.BackgroundBudgets.Origin)}, func(message string, fields map[string]any) { log.WithFields(fields).Info(message) })
	var line *peers.Channel
	if m.Enabled {
		hear := &ear{}
		way, err := ground.ListenPacket(at.Listen)
		if err != nil {
			return nil, file.KeyError("members.on", "can't listen: %v", err)
		}
		line = peers.New(way, keys, hear, log, ground.Random)
		parts.Self.Address = line.LocalAddr()
		for _, a := range [...]netip.AddrPort{at.Advertised, m.Address} {
			if a.IsValid() {
				parts.Self.Address = a
			}
		}
		parts.Self.ID = markOf(parts.Self.Address)
		u.control = control.New(parts, line)
		hear.c = u.control
	} else {
		u.control = control.New(parts, nil)
	}
	u.control.Run()
	u.set(file)
	log.WithFields(logrus.Fields{"members": m.Enabled, "renewing": u.renews, "probing": u.probes, "duties": u.shares.Count()}).
		Info("upkeep: background work is on")
	return u, nil
}

// Enabled tells whether an operator's file switches anything on.
func Enabled(file *operator.File) bool {
	return file.Membership.Enabled || file.Refresh.Enabled || file.HealthChecks.Enabled
}

// set takes what may change in service.
func (u *Manager) set(file *operator.File) {
	u.renews = file.Refresh.Enabled && u.shares.Refresh > 0
	u.probes = file.HealthChecks.Enabled && u.shares.HealthChecks > 0
	u.every, u.timeout = routing.Micros(file.HealthChecks.Interval.Microseconds()), file.HealthChecks.Timeout
	u.host.Router().EnableRefreshAhead(u.renews)
	u.host.Router().EnableSiblingLookup(u.asks)
	u.chores.SetBudget(renewing, allow(file.Refresh.Budget))
	u.chores.SetBudget(probing, allow(file.HealthChecks.Budget))
	u.chores.SetPathBudgets(scheduler.PathBudgets{Cache: allow(file.BackgroundBudgets.Cache), Parent: allow(file.BackgroundBudgets.Parent), Link: allow(file.BackgroundBudgets.Link),
		Origin: allow(file.BackgroundBudgets.Origin)})
	if file.ShardMap.Enabled {
		var keepers []membership.NodeID
		for _, a := range file.ShardMap.PinnedOwners {
			keepers = append(keepers, markOf(a))
		}
		u.control.PinShardMap(file.ShardMap.PinnedRanges, keepers)
	}
}

// Reload takes another file, which has been checked: keys, what is switched on and what may be spent.
func (u *Manager) Reload(file *operator.File) error {
	if u.shared && file.Membership.Enabled {
		keys, err := peers.ReadKeys(file.Membership.KeyFile)
		if err != nil {
			return file.KeyError("members.on", "needs its key file: %v", err)
		}
		u.control.SetKeys(keys)
	}
	u.set(file)
	return nil
}

func allow(s operator.Budget) scheduler.Budget {
	return scheduler.Budget{OperationsPerSecond: s.OperationsPerSecond, KBPerSecond: s.KBPerSecond, Concurrent: s.Concurrent}
}

func markOf(a netip.AddrPort) membership.NodeID { return operator.NodeIDOf(a) }

// Tick does what is due. It is called under the lock, some tens of times a second.
func (u *Manager) Tick(now time.Time) {
	for _, l := range u.control.TakeMessages() {
		u.handleMessage(l)
	}
	if s := u.control.Snapshot().FleetSize; s != u.sharers && s.Fleet > 0 {
		u.share(s)
	}
	at := u.host.Now()
	u.ageing.Tick(at)
	u.sightings.Tick(at)
	u.chores.SetPressure(at, u.host.Router().UnderPressure())
	if u.probes {
		u.due(at)
	}
	for range perBeat {
		ticket, c, route, ok := u.chores.Next(at, u.where)
		if !ok {
			break
		}
		if c.Class == probing {
			u.probe(at, ticket, &c, routing.EndpointID(route.Cache))
		} else {
			u.renew(at, ticket, &c)
		}
	}
	if now.Sub(u.tended) >= tendEvery {
		u.tended = now
		u.chores.Sweep(at)
	}
}

// handleMessage takes a message of the control goroutine's. A malformed datagram is counted by the core that reads it.
func (u *Manager) handleMessage(message control.Message) {
	now := u.host.Now()
	switch m := message.(type) {
	case control.RecordRecovered:
		u.host.Router().LearnGap(uint64(m.Record.Key), m.Record.RequestGap)
		u.recalled++
	case control.CopiesLocated:
		for _, c := range m.Copies {
			if id := u.host.EndpointNamed(uint64(c.Cache)); id != routing.NoEndpoint {
				u.host.Router().CopyLocated(uint64(m.Key), id, c.CreatedAt)
				u.held++
			}
		}
	case control.LeaseAcquired:
		if int(m.ID) >= u.shares.Refresh {
			return
		}
		u.ageing.LeaseAcquired(now, func(w lease.Task) bool {
			of, ok := u.shares.LeaseOf(w)
			return ok && of == m.ID
		})
	case control.Datagram:
		switch m.Kind {
		case ofAgeing:
			_ = u.ageing.Receive(now, m.Payload)
		case ofSightings:
			_ = u.sightings.Receive(now, m.Payload)
		}
	}
}

func (u *Manager) send(kind byte, to netip.AddrPort, b []byte) { u.control.Send(kind, to, b) }

// Note logs a change of mode.
func (u *Manager) Note(line string) { u.log.Info(line) }

// Leave tells peers that this router is to go, and hands its duties over.
func (u *Manager) Leave() { u.control.Leave() }

// LeasesHandedOver tells whether all duties have been handed over, or there is nobody to take them.
func (u *Manager) LeasesHandedOver() bool {
	v := u.control.Snapshot()
	return v.HeldLeases() == 0 || len(v.Peers) == 0
}

// AnnounceDeparture tells peers that this router ends now; Stop is to follow.
func (u *Manager) AnnounceDeparture() { u.control.AnnounceDeparture() }

// Stop ends all at once.
func (u *Manager) Stop() { u.control.Stop() }

// LeaseCount is how many duties there are.
func (u *Manager) LeaseCount() int { return u.shares.Count() }

// Stats are what an observer wants to know.
type Stats struct {
	Membership       membership.Stats
	Leases           lease.Stats
	Refresh          refresh.Stats
	HealthReports    health.Stats
	RefreshJobs      scheduler.Stats
	ProbeJobs        scheduler.Stats
	Channel          peers.Stats
	Shards           shardmap.Stats
	ShardMap         *shardmap.Map
	ShardMapState    shardmap.State
	Directory        control.DirectoryStatus
	RecoveredRecords uint64 // rows taken over after the start
	LocatedCopies    uint64 // told by others, of caches that are there
	FleetSize        fleetsize.Size
	LivePeers        int
	HeldLeases       int
}

// Stats gives what has happened since the start.
func (u *Manager) Stats() Stats {
	v := u.control.Snapshot()
	return Stats{Membership: v.MembershipStats, Leases: v.LeaseStats, Shards: v.ShardMapStats, Channel: v.ChannelStats, Refresh: u.ageing.Stats(),
		HealthReports: u.sightings.Stats(), RefreshJobs: u.chores.Stats(renewing), ProbeJobs: u.chores.Stats(probing), LivePeers: len(v.Peers),
		HeldLeases: v.HeldLeases(), Directory: v.Directory, RecoveredRecords: u.recalled, LocatedCopies: u.held, ShardMap: v.ShardMap, ShardMapState: v.ShardMapState, FleetSize: v.FleetSize}
}
