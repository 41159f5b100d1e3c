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

// fleetSizeLogInterval limits the log lines while a fleet size falls step by step.
const fleetSizeLogInterval = clock.Second

// handleMessage handles a message from the control goroutine. Unreadable datagrams are dropped; most cores
// count theirs.
func (m *Manager) handleMessage(message control.Message) {
	now := m.host.Now()
	switch message := message.(type) {
	case control.RecordRecovered:
		m.host.Router().LearnGap(uint64(message.Record.Key), message.Record.RequestGap)
		m.recoveredRecords++
	case control.CopiesLocated:
		m.handleCopies(message.Key, message.Copies)
	case control.LeaseAcquired:
		m.handleLease(now, message.ID)
	case control.Datagram:
		switch message.Kind {
		case node.KindRefresh:
			_ = m.refresh.Receive(now, message.Payload)
		case node.KindHealth:
			_ = m.health.Receive(now, message.Payload)
		}
	}
}

// handleCopies informs the router which caches of this zone hold an object.
func (m *Manager) handleCopies(key shardmap.Key, copies []directory.Copy) {
	for _, c := range copies {
		id := m.host.EndpointByIncarnation(uint64(c.Cache))
		if id == routing.NoEndpoint {
			continue
		}
		m.host.Router().CopyLocated(uint64(key), id, c.CreatedAt)
		m.locatedCopies++
	}
}

// handleLease takes over the tasks of a lease that this router has acquired.
func (m *Manager) handleLease(now routing.Micros, acquired lease.ID) {
	if int(acquired) >= m.partitions.Refresh {
		return // health checks need no state
	}
	m.refresh.LeaseAcquired(now, func(task lease.Task) bool {
		id, ok := m.partitions.LeaseOf(task)
		return ok && id == acquired
	})
}

// updateFleetSize passes a changed fleet size to the router.
func (m *Manager) updateFleetSize() {
	size := m.control.Snapshot().FleetSize
	if size == m.fleetSize || size.Fleet <= 0 {
		return
	}
	now := m.host.Now()
	if size.Fleet > m.fleetSize.Fleet || now-m.fleetSizeLogged >= fleetSizeLogInterval {
		m.fleetSizeLogged = now
		m.log.WithFields(logrus.Fields{
			"zone_routers":           size.Zone,
			"fleet_routers":          size.Fleet,
			"previous_fleet_routers": m.fleetSize.Fleet,
		}).Info("fleetsize: changed")
	}
	m.fleetSize = size
	m.host.Router().SetFleetSize(size.Zone, size.Fleet)
}

// RequestAnswered reports an answered request to the directory: the key of its object, the cache that answered, and
// when the copy was created, or 0 if that is unknown.
func (m *Manager) RequestAnswered(key uint64, request *frontend.Request, cache uint64, createdAt routing.Micros) {
	if !m.directory || request.Background || !m.classes[request.Class].Idempotent {
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
			Cache:     directory.CacheInstance(cache),
			LastSeen:  now,
			CreatedAt: createdAt,
		}
	}
	m.control.ReportObject(record)
}

// Locate asks other routers which caches hold the object with a key.
func (m *Manager) Locate(key uint64) {
	if m.siblingLookup {
		m.control.Locate(shardmap.Key(key))
	}
}

// Purged reports a purge of an object, or of all objects of a group if byGroup is set.
func (m *Manager) Purged(object uint64, group int, byGroup bool, at routing.Micros) {
	if !m.directory {
		return
	}
	purged := directory.Group(0)
	if byGroup {
		purged = directory.Group(group)
	}
	m.control.Purge(shardmap.Key(routing.ObjectKey(routing.ObjectID(object), 0)), purged, at)
}

// PurgesCaughtUp reports that all purges up to now have been reported.
func (m *Manager) PurgesCaughtUp() {
	if m.directory {
		m.control.PurgesCaughtUp()
	}
}
