package backgroundwork

import (
	"math"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/node"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/control"
	"threadrun/internal/frontend"
	"threadrun/routing"
)

// fleetSizeLogInterval is the minimum time between log lines about a decrease of the fleet size, because the size
// decreases in many small steps. Increases are always logged.
const fleetSizeLogInterval = clock.Second

// handleMessage handles a message from the control goroutine. It ignores the errors of unreadable datagrams:
// packages refresh and health drop and count such datagrams themselves.
func (m *Manager) handleMessage(message control.Message) {
	now := m.host.Now()
	switch message := message.(type) {
	case control.RecordRecovered:
		m.host.Router().InitRequestGap(uint64(message.Record.Key), message.Record.RequestGap)
		m.recoveredRecords++
	case control.CopiesLocated:
		m.handleLocatedCopies(message.Key, message.Copies)
	case control.LeaseAcquired:
		m.handleAcquiredLease(now, message.ID)
	case control.Datagram:
		switch message.Kind {
		case node.KindRefresh:
			_ = m.refresh.Receive(now, message.Payload)
		case node.KindHealth:
			_ = m.health.Receive(now, message.Payload)
		}
	}
}

// handleLocatedCopies reports to the router which endpoints hold an object. It skips copies at caches of other zones,
// and at caches that have been removed or restarted since the copy was recorded.
func (m *Manager) handleLocatedCopies(key shardmap.Key, copies []directory.Copy) {
	for _, c := range copies {
		id := m.host.EndpointByIncarnation(uint64(c.Cache))
		if id == routing.NoEndpoint {
			continue
		}
		m.host.Router().CopyLocated(uint64(key), id, c.CreatedAt)
		m.locatedCopies++
	}
}

// handleAcquiredLease makes package refresh schedule the refreshes that belong to an acquired lease.
func (m *Manager) handleAcquiredLease(now routing.Micros, acquired lease.ID) {
	if int(acquired) >= m.leaseCounts.Refresh {
		return // a lease of health checks, which become due by themselves
	}
	m.refresh.LeaseAcquired(now, func(task lease.Task) bool {
		id, ok := m.leaseCounts.LeaseOf(task)
		return ok && id == acquired
	})
}

// updateFleetSize passes a changed fleet size to the router. It does nothing while the fleet size is not estimated.
func (m *Manager) updateFleetSize() {
	size := m.control.Snapshot().FleetSize
	if size == m.fleetSize || size.Fleet <= 0 {
		return
	}
	now := m.host.Now()
	if size.Fleet > m.fleetSize.Fleet || now-m.fleetSizeLoggedAt >= fleetSizeLogInterval {
		m.fleetSizeLoggedAt = now
		m.log.WithFields(logrus.Fields{
			"zone_routers":           size.Zone,
			"fleet_routers":          size.Fleet,
			"previous_fleet_routers": m.fleetSize.Fleet,
		}).Info("fleetsize: changed")
	}
	m.fleetSize = size
	m.host.Router().SetFleetSize(size.Zone, size.Fleet)
}

// RequestAnswered reports an answered request to the directory. key is the result of routing.ObjectKey, incarnation
// identifies the endpoint that answered, with a new value after each of its restarts, and createdAt is when its copy
// was created, or 0 if that is unknown. Background requests and requests that are not idempotent are not reported.
func (m *Manager) RequestAnswered(key uint64, request *frontend.Request, incarnation uint64, createdAt routing.Micros) {
	if !m.directoryEnabled || request.Background || !m.classes[request.Class].Idempotent {
		return
	}
	now := m.host.Now()
	record := directory.Record{
		Key:         shardmap.Key(key),
		Group:       directory.Group(max(int(request.Group), 0)),
		Class:       uint8(request.Class),
		SizeKB:      uint32(min(max(request.SizeKB, 0), math.MaxUint32)),
		LastRequest: now,
	}
	if createdAt > 0 {
		record.Copies[0] = directory.Copy{
			Cache:     directory.CacheInstance(incarnation),
			LastSeen:  now,
			CreatedAt: createdAt,
		}
	}
	m.control.ObserveRequest(record)
}

// Locate asks other routers which caches hold the object with a key. If they know of copies, a later Tick reports the
// copies to the router.
func (m *Manager) Locate(key uint64) {
	if m.siblingLookupEnabled {
		m.control.Locate(shardmap.Key(key))
	}
}

// Purged reports a purge to the directory: of an object, or of all objects of a group if byGroup is set. issuedAt
// is when the purge was issued, on the router's clock.
func (m *Manager) Purged(object uint64, group int, byGroup bool, issuedAt routing.Micros) {
	if !m.directoryEnabled {
		return
	}
	purgedGroup := directory.Group(0)
	if byGroup {
		purgedGroup = directory.Group(group)
	}
	m.control.ObservePurge(shardmap.Key(routing.ObjectKey(routing.ObjectID(object), 0)), purgedGroup, issuedAt)
}

// PurgesCaughtUp reports that Purged has been called for all purges up to now.
func (m *Manager) PurgesCaughtUp() {
	if m.directoryEnabled {
		m.control.PurgesCaughtUp()
	}
}
