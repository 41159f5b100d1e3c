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

// Host is the service as used by background work. Its methods must be called under the service's lock, and never
// from within a call of the router.
type Host interface {
	Now() routing.Micros
	Router() *routing.Router // the router, with its time set
	// PlanBackground returns where a background request would be forwarded now, or false if it may not be
	// forwarded.
	PlanBackground(request *frontend.Request) (routing.ForwardPlan, bool)
	// Arrive starts a request, and reports whether it was accepted.
	Arrive(from frontend.Client, number frontend.RequestNumber, request *frontend.Request) bool
	EachEndpoint(f func(id routing.EndpointID, nameHash uint64, tier routing.Tier))
	Tier(id routing.EndpointID) routing.Tier
	// EndpointNamed returns the cache of this zone with the given identifier of its current incarnation, or
	// NoEndpoint.
	EndpointNamed(name uint64) routing.EndpointID
	// Probe starts a health check and returns its number, with which ProbeEnded will be called. It returns 0 if no
	// connection is available.
	Probe(id routing.EndpointID, timeout time.Duration) uint64
}

const (
	maxJobsPerTick = 16
	sweepInterval  = time.Second

	// Masks that are XORed into the router's seed, so that health reports and the scheduler draw independent random
	// sequences. The values are arbitrary, but the recorded seeds of simulations depend on them.
	healthSeedMask    = 0x73696768
	schedulerSeedMask = 0x63686f72
)

// Manager runs one router's background work. It is guarded by the service's lock.
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

	// Set by New.
	clustered     bool // this router has peers
	directory     bool // records of cached objects are stored
	siblingLookup bool // other routers are asked which caches hold an object

	// Changed by Reload.
	refreshing          bool
	healthChecking      bool
	healthCheckInterval routing.Micros
	healthCheckTimeout  time.Duration

	healthChecks     map[uint64]healthCheck // checks in progress, by number
	refreshes        uint64                 // number of refresh requests sent
	fleetSize        fleetsize.Size         // as last passed to the router; zero: the configured size
	fleetSizeLogged  routing.Micros
	recoveredRecords uint64
	locatedCopies    uint64
}

// New creates and starts background work according to the operator's file. An error names the key that can't be
// applied.
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

// Enabled reports whether an operator's file enables any background work.
func Enabled(file *operator.File) bool {
	return file.Membership.Enabled || file.Refresh.Enabled || file.HealthChecks.Enabled
}

// Tick performs all actions that are due. The caller must call it some tens of times per second.
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

// startJobs starts the jobs that are due, up to a maximum per tick.
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
	case !m.HoldsLease(job.Task): // another router holds the lease by now, or this router is out of contact
		return noRoute, scheduler.Discard
	case job.Class == healthCheckJobs:
		return m.routeHealthCheck(job)
	}
	return m.routeRefresh(job)
}

// noRoute is a route that uses no cache and no parent.
var noRoute = scheduler.Route{Cache: -1, Parent: -1}

// Leave announces to peers that this router is leaving, so that they claim its leases.
func (m *Manager) Leave() { m.control.Leave() }

// LeasesHandedOver reports whether all leases have been handed over, or there are no peers to claim them.
func (m *Manager) LeasesHandedOver() bool {
	snapshot := m.control.Snapshot()
	return snapshot.HeldLeases() == 0 || len(snapshot.Peers) == 0
}

// AnnounceDeparture announces to peers that this router ends now. The caller must call Stop afterward.
func (m *Manager) AnnounceDeparture() { m.control.AnnounceDeparture() }

// Stop ends background work. It waits a limited time for the control goroutine.
func (m *Manager) Stop() { m.control.Stop() }

// LeaseCount returns the number of leases that the routers share.
func (m *Manager) LeaseCount() int { return m.partitions.Count() }

// logEvent logs a change reported by a core.
func (m *Manager) logEvent(message string, attrs ...slog.Attr) {
	m.log.WithFields(logging.Fields(attrs)).Info(message)
}

// HoldsLease reports whether this router holds the lease of a task now.
func (m *Manager) HoldsLease(task lease.Task) bool {
	id, ok := m.partitions.LeaseOf(task)
	if !ok {
		return false
	}
	return m.control.Snapshot().HoldsLease(id, m.host.Now())
}

// LeaseHolder returns the address of the other router that holds the lease of a task, or false.
func (m *Manager) LeaseHolder(task lease.Task) (netip.AddrPort, bool) {
	id, ok := m.partitions.LeaseOf(task)
	if !ok {
		return netip.AddrPort{}, false
	}
	snapshot := m.control.Snapshot()
	holder, held := snapshot.LeaseHolder(id)
	return holder, held && holder != snapshot.Self.Address
}
