package backgroundwork

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/background/refresh"
	"threadrun/background/scheduler"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/health"
	"threadrun/cluster/lease"
	"threadrun/internal/control"
	"threadrun/internal/frontend"
	"threadrun/internal/logging"
	"threadrun/internal/operator"
	"threadrun/internal/peers"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// Host is the service, as background work needs it. All calls come under its lock, and none from within the router.
type Host interface {
	Now() routing.Micros
	Router() *routing.Router // with its clock set
	// PlanBackground reports where a background request would be forwarded now; false: nowhere.
	PlanBackground(request *frontend.Request) (routing.ForwardPlan, bool)
	// Arrive starts a request; false: it was not accepted.
	Arrive(from frontend.Client, number frontend.RequestNumber, request *frontend.Request) bool
	EachEndpoint(f func(id routing.EndpointID, nameHash uint64, tier routing.Tier))
	Tier(id routing.EndpointID) routing.Tier
	// EndpointNamed finds the cache of this zone that bears a name in its present incarnation, or NoEndpoint.
	EndpointNamed(name uint64) routing.EndpointID
	// Probe starts a health check; ProbeEnded follows with the number given back. 0: there is no connection to be had.
	Probe(id routing.EndpointID, timeout time.Duration) uint64
}

const (
	maxJobsPerTick = 16
	sweepInterval  = time.Second

	// XORed into the router's seed: health reports and the scheduler draw independent random sequences. The values
	// are arbitrary, but the kept seeds of the simulations depend on them.
	healthSeedMask    = 0x73696768
	schedulerSeedMask = 0x63686f72
)

// Manager is one router's background work.
type Manager struct {
	host       Host
	log        *logrus.Logger
	zone       uint16
	control    *control.Controller
	refresh    *refresh.Manager
	health     *health.Reports
	scheduler  *scheduler.Scheduler
	partitions lease.Partitions
	classes    []refresh.Class
	lastSweep  time.Time

	// Fixed at the start.
	clustered     bool // with other routers
	directory     bool // records of cached objects are kept
	siblingLookup bool // other routers are asked where objects are cached

	// May change with a reload.
	refreshing          bool
	healthChecking      bool
	healthCheckInterval routing.Micros
	healthCheckTimeout  time.Duration

	healthChecks     map[uint64]healthCheck // that are out, by number
	refreshes        uint64                 // requests sent
	fleetSize        fleetsize.Size         // as the router has it; zero: by the settings
	fleetSizeLogged  routing.Micros
	recoveredRecords uint64
	locatedCopies    uint64
}

// New makes and starts background work as the operator's file says. An error names the key that can't be followed.
func New(file *operator.File, host Host, log *logrus.Logger, addresses PeerAddresses, runtime transport.Runtime,
	seed uint32, classes []routing.Class) (*Manager, error) {
	now := host.Now()
	m := &Manager{
		host:          host,
		log:           log,
		zone:          uint16(addresses.Zone),
		partitions:    partitions(file),
		classes:       refreshClasses(classes),
		clustered:     file.Membership.Enabled,
		directory:     file.Directory.Enabled,
		siblingLookup: file.SiblingLookup,
		healthChecks:  map[uint64]healthCheck{},
	}
	var keys *peers.Keys
	if m.clustered {
		var err error
		keys, err = readKeys(file)
		if err != nil {
			return nil, err
		}
		addresses, err = resolveAddresses(file, addresses)
		if err != nil {
			return nil, err
		}
	}
	m.refresh = refresh.New(now, m.classes, m, refreshExecutor{m})
	m.health = health.New(now, seed^healthSeedMask, healthExecutor{m})
	m.scheduler = scheduler.New(now, seed^schedulerSeedMask, jobClasses(file), pathBudgets(file), m.logEvent)
	config := m.controlConfig(file, addresses, runtime, seed, now)
	if err := m.startControl(file, config, addresses, keys); err != nil {
		return nil, err
	}
	m.apply(file)
	log.WithFields(logrus.Fields{
		"membership":    m.clustered,
		"refresh":       m.refreshing,
		"health_checks": m.healthChecking,
		"leases":        m.partitions.Count(),
	}).Info("background work: started")
	return m, nil
}

// Enabled reports whether an operator's file switches any background work on.
func Enabled(file *operator.File) bool {
	return file.Membership.Enabled || file.Refresh.Enabled || file.HealthChecks.Enabled
}

// Tick does what is due. It is called some tens of times a second.
func (m *Manager) Tick(now time.Time) {
	for _, message := range m.control.TakeMessages() {
		m.handleMessage(message)
	}
	m.updateFleetSize()
	at := m.host.Now()
	m.refresh.Tick(at)
	m.health.Tick(at)
	m.scheduler.SetPressure(at, m.host.Router().UnderPressure())
	if m.healthChecking {
		m.submitHealthChecks(at)
	}
	m.startJobs(at)
	if now.Sub(m.lastSweep) >= sweepInterval {
		m.lastSweep = now
		m.scheduler.Sweep(at)
	}
}

// startJobs starts the jobs that are due, a bounded number at a time.
func (m *Manager) startJobs(now routing.Micros) {
	for range maxJobsPerTick {
		id, job, route, ok := m.scheduler.Next(now, m.route)
		if !ok {
			return
		}
		switch job.Class {
		case healthCheckJobs:
			m.startHealthCheck(now, id, &job, routing.EndpointID(route.Cache))
		default:
			m.startRefresh(now, id, &job)
		}
	}
}

// route tells the scheduler where a job would run.
func (m *Manager) route(job *scheduler.Job) (scheduler.Route, scheduler.Verdict) {
	switch {
	case !m.Mine(job.Task): // another router holds its lease by now, or this one is out of contact
		return noRoute, scheduler.Discard
	case job.Class == healthCheckJobs:
		return m.routeHealthCheck(job)
	}
	return m.routeRefresh(job)
}

// noRoute is a route over no cache and no parent.
var noRoute = scheduler.Route{Cache: -1, Parent: -1}

// Leave tells the peers that this router is leaving, and hands its leases over.
func (m *Manager) Leave() { m.control.Leave() }

// LeasesHandedOver reports whether all leases have been handed over, or nobody is there to take them.
func (m *Manager) LeasesHandedOver() bool {
	snapshot := m.control.Snapshot()
	return snapshot.HeldLeases() == 0 || len(snapshot.Peers) == 0
}

// AnnounceDeparture tells the peers that this router ends now; Stop is to follow.
func (m *Manager) AnnounceDeparture() { m.control.AnnounceDeparture() }

// Stop ends background work. It waits for the control goroutine, a bounded time.
func (m *Manager) Stop() { m.control.Stop() }

// LeaseCount is how many leases the routers share.
func (m *Manager) LeaseCount() int { return m.partitions.Count() }

// logEvent logs a core's change of mode.
func (m *Manager) logEvent(message string, attrs ...slog.Attr) {
	m.log.WithFields(logging.Fields(attrs)).Info(message)
}

// Mine reports whether this router holds the lease of a task now.
func (m *Manager) Mine(task lease.Task) bool {
	id, ok := m.partitions.LeaseOf(task)
	if !ok {
		return false
	}
	return m.control.Snapshot().HoldsLease(id, m.host.Now())
}

// Where reports which other router holds the lease of a task.
func (m *Manager) Where(task lease.Task) (netip.AddrPort, bool) {
	id, ok := m.partitions.LeaseOf(task)
	if !ok {
		return netip.AddrPort{}, false
	}
	snapshot := m.control.Snapshot()
	holder, held := snapshot.LeaseHolder(id)
	return holder, held && holder != snapshot.Self.Address
}
