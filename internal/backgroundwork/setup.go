package backgroundwork

import (
	"net/netip"

	"threadrun/background/refresh"
	"threadrun/background/scheduler"
	"threadrun/cluster/fleetsize"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/control"
	"threadrun/internal/operator"
	"threadrun/internal/peers"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// membershipKey is the key of the operator's file to which errors about addresses and the key file are attributed.
const membershipKey = "members.on"

// The classes of jobs, as indexes into the result of jobClasses.
const (
	refreshJobs scheduler.ClassID = iota
	healthCheckJobs
)

const (
	refreshPriority     = 1
	healthCheckPriority = 2    // higher than refreshPriority: health checks run first
	maxHealthCheckJobs  = 4096 // maximum number of queued health checks
	refreshAttempts     = 2
	healthCheckAttempts = 1 // a health check never ends as scheduler.Failed, see HealthCheckEnded
	refreshBackoff      = 500 * clock.Millisecond
)

// PeerAddresses contains the addresses of this router and its peers according to the deployment.
type PeerAddresses struct {
	Listen     netip.AddrPort   // where this router receives datagrams
	Advertised netip.AddrPort   // where peers reach this router; invalid: at the address where it listens
	Known      []netip.AddrPort // addresses of all routers
	Zone       int              // zone of this router
}

// channelHandler passes received datagrams to the controller. It exists because the channel needs a handler before the
// controller exists: the controller's identity includes the address at which the channel listens.
type channelHandler struct{ controller *control.Controller }

// HandleDatagram handles a datagram from a peer.
func (h *channelHandler) HandleDatagram(kind byte, from netip.AddrPort, payload []byte) {
	h.controller.HandleDatagram(kind, from, payload)
}

// startControl creates and starts the controller, with a channel to peers if membership is enabled.
func (m *Manager) startControl(file *operator.File, config control.Config, addresses PeerAddresses,
	keys *peers.Keys) error {
	var channel *peers.Channel
	handler := &channelHandler{}
	if m.clustered {
		conn, err := config.Runtime.ListenPacket(addresses.Listen)
		if err != nil {
			return file.KeyError(membershipKey, "can't listen: %v", err)
		}
		channel = peers.New(conn, keys, handler, m.log, config.Runtime.Random)
		config.Self.Address = ownAddress(file, addresses, channel.LocalAddr())
		config.Self.ID = operator.NodeIDOf(config.Self.Address)
	}
	m.control = control.New(config, channel)
	handler.controller = m.control
	m.control.Run()
	return nil
}

// controlConfig returns the controller's configuration. With peers, startControl replaces the ID and sets the address.
func (m *Manager) controlConfig(file *operator.File, addresses PeerAddresses, runtime transport.Runtime,
	seed uint32, now routing.Micros) control.Config {
	config := control.Config{
		Self: membership.Identity{
			ID:          membership.NodeID(seed) + 1, // with peers: replaced by NodeIDOf(address)
			Zone:        m.zone,
			Weight:      uint16(file.Membership.Weight),
			Incarnation: membership.Incarnation(now / clock.Millisecond),
		},
		Seed:          seed,
		Leases:        m.leaseCounts.Total(),
		ShardMap:      file.ShardMap.Enabled,
		Directory:     file.Directory.Enabled,
		SiblingLookup: file.SiblingLookup,
		SnapshotDir:   file.Directory.SnapshotDir,
		Clock:         m.host.Now,
		Runtime:       runtime,
		Log:           m.log,
	}
	if m.clustered {
		config.Peers = initialPeers(file, addresses)
	}
	if file.DynamicFleetSize {
		zone, fleet := m.host.Router().FleetSize()
		config.StaticFleetSize = fleetsize.Size{Zone: zone, Fleet: fleet}
	}
	return config
}

// readKeys reads the file with the keys that the routers share.
func readKeys(file *operator.File) (*peers.Keys, error) {
	keys, err := peers.ReadKeys(file.Membership.KeyFile)
	if err != nil {
		return nil, file.KeyError(membershipKey, "needs a valid key file: %v", err)
	}
	return keys, nil
}

// resolveAddresses replaces the deployment's addresses by those that the operator's file contains. It returns an
// error if neither contains an address to listen at. The deployment's advertised address belongs to its own listen
// address, so the operator's listen address replaces both.
func resolveAddresses(file *operator.File, addresses PeerAddresses) (PeerAddresses, error) {
	if file.Membership.Listen.IsValid() {
		addresses.Listen = file.Membership.Listen
		addresses.Advertised = netip.AddrPort{}
	}
	if !addresses.Listen.IsValid() {
		return addresses, file.KeyError(membershipKey,
			"needs an address: 'members.listen', or the deployment's 'peer_listen'")
	}
	if len(file.Membership.Peers) > 0 {
		addresses.Known = file.Membership.Peers
	}
	return addresses, nil
}

// initialPeers returns the routers to contact after the start: the seeds if there are any, otherwise all known
// routers. A seed's ID is not known before its first answer.
func initialPeers(file *operator.File, addresses PeerAddresses) (list []membership.Peer) {
	if len(file.Membership.Seeds) > 0 {
		for _, seed := range file.Membership.Seeds {
			list = append(list, membership.Peer{Address: seed})
		}
		return list
	}
	for _, known := range addresses.Known {
		list = append(list, membership.Peer{ID: operator.NodeIDOf(known), Address: known})
	}
	return list
}

// ownAddress returns the address at which peers reach this router: that of the operator's file, else the advertised
// one, else the local one.
func ownAddress(file *operator.File, addresses PeerAddresses, local netip.AddrPort) netip.AddrPort {
	switch {
	case file.Membership.Address.IsValid():
		return file.Membership.Address
	case addresses.Advertised.IsValid():
		return addresses.Advertised
	}
	return local
}

// applyReloadable applies the settings that a reload may change. New calls it, too.
func (m *Manager) applyReloadable(file *operator.File) {
	m.refreshEnabled = file.Refresh.Enabled && m.leaseCounts.Refresh > 0
	m.healthChecksEnabled = file.HealthChecks.Enabled && m.leaseCounts.HealthChecks > 0
	m.healthCheckInterval = clock.FromDuration(file.HealthChecks.Interval)
	m.healthCheckTimeout = file.HealthChecks.Timeout
	m.host.Router().EnableRefreshAhead(m.refreshEnabled)
	m.host.Router().EnableSiblingLookup(m.siblingLookupEnabled)
	m.scheduler.SetBudget(refreshJobs, budget(file.Refresh.Budget))
	m.scheduler.SetBudget(healthCheckJobs, budget(file.HealthChecks.Budget))
	m.scheduler.SetResourceBudgets(resourceBudgets(file))
	if file.ShardMap.Enabled {
		m.pinShardMap(file)
	}
}

// pinShardMap passes the operator's shard map, or its absence, to the controller.
func (m *Manager) pinShardMap(file *operator.File) {
	var owners []membership.NodeID
	for _, address := range file.ShardMap.PinnedOwners {
		owners = append(owners, operator.NodeIDOf(address))
	}
	m.control.PinShardMap(file.ShardMap.PinnedRanges, owners)
}

// Reload applies the settings of another validated file that take effect without a restart, and reads its key file
// again. If the key file is invalid, Reload changes nothing and returns an error that names the key of the operator's
// file.
func (m *Manager) Reload(file *operator.File) error {
	if m.clustered && file.Membership.Enabled {
		keys, err := readKeys(file)
		if err != nil {
			return err
		}
		m.control.SetKeys(keys)
	}
	m.applyReloadable(file)
	return nil
}

// leaseCounts returns the number of leases of each kind of work, 0 for disabled work.
func leaseCounts(file *operator.File) (counts lease.Counts) {
	if file.Refresh.Enabled {
		counts.Refresh = file.Refresh.LeaseCount
	}
	if file.HealthChecks.Enabled {
		counts.HealthChecks = file.HealthChecks.LeaseCount
	}
	return counts
}

// refreshClasses returns the classes of requests for package refresh. A class that writes does not count as idempotent.
func refreshClasses(classes []routing.Class) (list []refresh.Class) {
	for _, class := range classes {
		list = append(list, refresh.Class{
			FreshnessLifetime: class.FreshnessLifetime,
			Idempotent:        class.Effect == routing.Idempotent && !class.Write,
		})
	}
	return list
}

// jobClasses returns the classes of jobs, indexed by their ClassID.
func jobClasses(file *operator.File) []scheduler.Class {
	return []scheduler.Class{
		refreshJobs: {
			Name:        "refresh",
			Priority:    refreshPriority,
			MaxQueued:   file.Refresh.MaxQueued,
			Budget:      budget(file.Refresh.Budget),
			MaxAttempts: refreshAttempts,
			Backoff:     refreshBackoff,
		},
		healthCheckJobs: {
			Name:        "health check",
			Priority:    healthCheckPriority,
			MaxQueued:   maxHealthCheckJobs,
			Budget:      budget(file.HealthChecks.Budget),
			MaxAttempts: healthCheckAttempts,
		},
	}
}

func resourceBudgets(file *operator.File) scheduler.ResourceBudgets {
	return scheduler.ResourceBudgets{
		Cache:  budget(file.BackgroundBudgets.Cache),
		Parent: budget(file.BackgroundBudgets.Parent),
		Link:   budget(file.BackgroundBudgets.Link),
		Origin: budget(file.BackgroundBudgets.Origin),
	}
}

func budget(b operator.Budget) scheduler.Budget {
	return scheduler.Budget{
		OperationsPerSecond: b.OperationsPerSecond,
		KBPerSecond:         b.KBPerSecond,
		Concurrent:          b.Concurrent,
	}
}
