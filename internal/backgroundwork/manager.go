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
	// Now returns the current time on the router's clock.
	Now() routing.Micros
	// Router sets the router's time to Now and returns the router.
	Router() *routing.Router
	// PlanBackground returns where a background request would be forwarded now, or false if it may not be
	// forwarded.
	PlanBackground(request *frontend.Request) (routing.ForwardPlan, bool)
	// StartRequest starts a request and reports whether it did; it refuses a request with the trace ID of an open
	// one. from receives the result of a started request under the given number.
	StartRequest(from frontend.Client, number frontend.RequestNumber, request *frontend.Request) bool
	// EachEndpoint calls f for the caches of this zone, the parents and the origin.
	EachEndpoint(f func(id routing.EndpointID, nameHash uint64, tier routing.Tier))
	// Tier returns an endpoint's tier.
	Tier(id routing.EndpointID) routing.Tier
	// EndpointByIncarnation returns the endpoint with the given incarnation, if it is one of those that
	// EachEndpoint passes to f. It returns NoEndpoint if the endpoint was removed or has restarted.
	EndpointByIncarnation(incarnation uint64) routing.EndpointID
	// StartHealthCheck starts a health check and returns its number, with which Manager.HealthCheckEnded will be
	// called. It returns 0 if no connection is available; HealthCheckEnded is not called then.
	StartHealthCheck(id routing.EndpointID, timeout time.Duration) uint64
}

const (
	maxJobsPerTick = 16          // jobs started by one Tick
	sweepInterval  = time.Second // between two calls of Scheduler.Sweep

	// Masks that are XORed into the router's seed, so that health reports and the scheduler draw independent random
	// sequences. The values are arbitrary, but the recorded seeds of simulations depend on them.
	healthSeedMask    = 0x73696768
	schedulerSeedMask = 0x63686f72
)

// Manager runs one router's background work. It is guarded by the service's lock.
type Manager struct {
	host        Host
	log         *logrus.Logger
	zone        uint16
	control     *control.Controller
	refresh     *refresh.Manager
	health      *health.Reports
	scheduler   *scheduler.Scheduler
	leaseCounts lease.Counts
	classes     []refresh.Class
	lastSweep   time.Time

	// Set by New; only a restart changes them.
	clustered            bool // this router has peers
	directoryEnabled     bool // records of cached objects are stored
	siblingLookupEnabled bool // other routers are asked which caches hold an object

	// Changed by Reload.
	refreshEnabled      bool
	healthChecksEnabled bool
	healthCheckInterval routing.Micros
	healthCheckTimeout  time.Duration

	healthChecks      map[uint64]healthCheck // checks in progress, by the number returned by Host.StartHealthCheck
	refreshCount      uint64                 // number of refresh requests started; makes their trace IDs unique
	fleetSize         fleetsize.Size         // as last passed to the router; zero: the configured size
	fleetSizeLoggedAt routing.Micros         // time of the last log line about the fleet size
	recoveredRecords  uint64
	locatedCopies     uint64
}

// New returns a running Manager, configured by the operator's file. The caller must call Stop. classes are indexed by
// routing.ClassID. An error names the key of the file that can't be applied.
func New(file *operator.File, host Host, log *logrus.Logger, addresses PeerAddresses, runtime transport.Runtime,
	seed uint32, classes []routing.Class) (*Manager, error) {
	now := host.Now()
	m := &Manager{
		host:                 host,
		log:                  log,
		zone:                 uint16(addresses.Zone),
		leaseCounts:          leaseCounts(file),
		classes:              refreshClasses(classes),
		clustered:            file.Membership.Enabled,
		directoryEnabled:     file.Directory.Enabled,
		siblingLookupEnabled: file.SiblingLookup,
		healthChecks:         map[uint64]healthCheck{},
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
	m.health = health.New(now, seed^healthSeedMask, healthOutput{m})
	m.scheduler = scheduler.New(now, seed^schedulerSeedMask, jobClasses(file), resourceBudgets(file), m.logEvent)
	config := m.controlConfig(file, addresses, runtime, seed, now)
	if err := m.startControl(file, config, addresses, keys); err != nil {
		return nil, err
	}
	m.applyReloadable(file)
	log.WithFields(logrus.Fields{
		"membership":    m.clustered,
		"refresh":       m.refreshEnabled,
		"health_checks": m.healthChecksEnabled,
		"leases":        m.leaseCounts.Total(),
	}).Info("background work: started")
	return m, nil
}

// Enabled reports whether an operator's file enables any background work.
func Enabled(file *operator.File) bool {
	return file.Membership.Enabled || file.Refresh.Enabled || file.HealthChecks.Enabled
}

// Tick performs all actions that are due: it handles the messages of the control goroutine, sends reports to peers,
// and submits and starts jobs. The caller must call it some tens of times per second. now is the time of a monotonic
// clock.
func (m *Manager) Tick(now time.Time) {
	for _, message := range m.control.TakeMessages() {
		m.handleMessage(message)
	}
	m.updateFleetSize()
	routerNow := m.host.Now()
	m.refresh.Tick(routerNow)
	m.health.Tick(routerNow)
	m.scheduler.SetPressure(routerNow, m.host.Router().UnderPressure())
	if m.healthChecksEnabled {
		m.submitHealthChecks(routerNow)
	}
	m.startJobs(routerNow)
	if now.Sub(m.lastSweep) >= sweepInterval {
		m.lastSweep = now
		m.scheduler.Sweep(routerNow)
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

// route returns the endpoints that a job would use, and whether it may run now.
func (m *Manager) route(job *scheduler.Job) (scheduler.Route, scheduler.Verdict) {
	switch {
	case !m.MayRun(job.Task): // another router has claimed the lease, or this router is out of contact
		return noRoute, scheduler.Discard
	case job.Class == healthCheckJobs:
		return m.routeHealthCheck(job)
	}
	return m.routeRefresh(job)
}

// noRoute is a route that uses no cache and no parent.
var noRoute = scheduler.Route{Cache: -1, Parent: -1}

// Leave announces to peers that this router is about to shut down, so that they claim its leases. The router remains a
// member until EndMembership.
func (m *Manager) Leave() { m.control.Leave() }

// LeasesHandedOver reports whether peers have claimed all leases of this router, or there are no peers to do so.
func (m *Manager) LeasesHandedOver() bool {
	snapshot := m.control.Snapshot()
	return snapshot.HeldCount() == 0 || len(snapshot.Peers) == 0
}

// EndMembership announces to peers, at the next tick of the control goroutine, that this router ends now. The
// caller must call Stop afterward.
func (m *Manager) EndMembership() { m.control.EndMembership() }

// Stop ends the control goroutine. It waits a limited time for a tick in progress.
func (m *Manager) Stop() { m.control.Stop() }

// LeaseCount returns the number of leases that the routers of a zone divide among themselves.
func (m *Manager) LeaseCount() int { return m.leaseCounts.Total() }

// logEvent logs an event reported by the scheduler.
func (m *Manager) logEvent(message string, attrs ...slog.Attr) {
	m.log.WithFields(logging.Fields(attrs)).Info(message)
}

// MayRun reports whether this router may run a task now: it holds the task's lease, is in contact with its peers,
// and its control goroutine has not stalled.
func (m *Manager) MayRun(task lease.Task) bool {
	id, ok := m.leaseCounts.LeaseOf(task)
	if !ok {
		return false
	}
	return m.control.Snapshot().MayRun(id, m.host.Now())
}

// LeaseHolder returns the address of the router that holds the lease of a task. It returns false if this router holds
// it or no holder is known.
func (m *Manager) LeaseHolder(task lease.Task) (netip.AddrPort, bool) {
	id, ok := m.leaseCounts.LeaseOf(task)
	if !ok {
		return netip.AddrPort{}, false
	}
	snapshot := m.control.Snapshot()
	holder, held := snapshot.LeaseHolder(id)
	return holder, held && holder != snapshot.Self.Address
}
