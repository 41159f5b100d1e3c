package system

import (
	"fmt"
	"net/netip"

	"threadrun/internal/transport"
	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

// machineKind is a kind of machine, as in the settings and on the endpoint list.
type machineKind string

const (
	kindCache  machineKind = "cache"
	kindParent machineKind = "parent"
	kindOrigin machineKind = "origin"
)

// endpointState is a machine's state on the endpoint list.
type endpointState string

const (
	stateUp       endpointState = "up"
	stateDraining endpointState = "draining"
	stateRemoved  endpointState = "removed"
)

const (
	maxAccepted   = 4096     // connections to a machine or to discovery
	minCopies     = 8        // lower bound of the capacity of a cache, in copies
	serviceTime   = 2 * ms   // of an attempt or a call, after its wait in the queue
	maxQueue      = 500 * ms // of work; a machine with a longer queue rejects
	announceDelay = 400 * ms // from the start of a machine's process to its announcement
	restartDelay  = 500 * ms // from the stop of a drained machine to its restart
)

// activeFaults is the number of active faults of one kind.
type activeFaults int

// machine simulates a cache, a parent or the origin as the public page of the cache protocol describes it.
type machine struct {
	sim         *Simulation
	name        string // on the endpoint list
	slot        string // its name in scripts, which a replacement keeps
	kind        machineKind
	id          invariants.MachineID
	host        *network.Host
	address     netip.AddrPort
	rate        float64 // units of work a second, when warm
	maxCopies   int
	engine      *transport.Engine
	copies      map[string]*cachedCopy // by object key
	fills       map[string]*fill       // the latest running one of each object key
	busyUntil   Micros                 // when all queued work will be done
	bootedAt    Micros                 // 0: before the simulation
	running     bool
	restarting  bool // because of a fault, until the machine is announced again
	incarnation int  // changes at each start and stop
	connections []*machineConn

	slow, rejecting, failing, truncating, halfClosing, hanging activeFaults
	slowFactor                                                 float64
}

// addMachines adds the caches, the parents and the origin.
func (s *Simulation) addMachines() {
	cacheRate := transfersPerCache / transferSeconds
	// Parents and the origin are in the hub, whose link carries as much as all caches together.
	hubRate := float64(s.plan.Caches) * transfersPerCache / transferSeconds
	for i := range s.plan.Caches {
		s.addMachine(fmt.Sprintf("cache-%d", i), kindCache, i, cacheRate, max(s.plan.Objects/2, minCopies))
	}
	for i := range s.plan.Parents {
		s.addMachine(fmt.Sprintf("parent-%d", i), kindParent, i, hubRate, s.plan.Objects)
	}
	s.origin = s.addMachine(faults.Origin, kindOrigin, 0, hubRate, 0)
}

// addMachine adds the machine of a kind with the index i, and its host.
func (s *Simulation) addMachine(name string, kind machineKind, i int, rate float64, maxCopies int) *machine {
	subnet := map[machineKind]byte{kindCache: 1, kindParent: 2, kindOrigin: 3}[kind]
	host := s.addHost(name, subnet, byte(i+1))
	m := &machine{sim: s, name: name, slot: name, kind: kind, host: host, rate: rate, maxCopies: maxCopies}
	m.address = netip.AddrPortFrom(host.Addr, servicePort)
	s.assignID(m)
	s.machines = append(s.machines, m)
	return m
}

// assignID gives a machine a new id, so that it is a new machine to the checker, and sets the limits of its slow
// start.
func (s *Simulation) assignID(m *machine) {
	m.id = s.nextID
	s.nextID++
	if m.kind == kindOrigin {
		return
	}
	s.checker.Settings().SlowStart[m.id] = invariants.SlowStart{
		InitialShare:     coldInitialShare,
		WarmUp:           coldWarmUp,
		OverloadMultiple: coldOverloadMultiple,
		Window:           coldOverloadWindow,
		Capacity:         m.rate,
	}
}

// machineNamed returns a machine by its name on the endpoint list, or nil.
func (s *Simulation) machineNamed(name string) *machine {
	for _, m := range s.machines {
		if name != "" && m.name == name {
			return m
		}
	}
	return nil
}

// machineInSlot returns a machine by its name in scripts, or nil.
func (s *Simulation) machineInSlot(name string) *machine {
	for _, m := range s.machines {
		if m.slot == name {
			return m
		}
	}
	return nil
}

// reachable reports whether the network delivers packets from one machine to another.
func (s *Simulation) reachable(from, to *machine) bool {
	return !from.host.Partitioned() && !to.host.Partitioned() && !s.world.Link(from.host, to.host).Cut
}

// start starts a machine's next process, which has no copies. A cold process has a lower rate until it has warmed
// up; the checker is notified of its start.
func (m *machine) start(cold bool) {
	m.copies = map[string]*cachedCopy{}
	m.fills = map[string]*fill{}
	m.busyUntil = 0
	m.running = true
	m.bootedAt = 0
	m.incarnation++
	m.engine = transport.NewWithRuntime(m.host.Start(), m.sim.discardLog)
	m.engine.SetMaxAccepted(maxAccepted)
	_ = m.engine.Listen(m.address.String(), func(c *transport.Conn) transport.Handler {
		conn := &machineConn{machine: m, conn: c}
		m.connections = append(m.connections, conn)
		return conn
	})
	if cold {
		m.bootedAt = m.sim.world.Now()
		m.sim.observe(invariants.Event{Kind: invariants.MachineStarted, Machine: m.id})
	}
}

// stop kills the process and ends its open attempts. For the checker, an attempt ends when its router closed the
// connection, or else now; in a paused process, it ends when it was received.
func (m *machine) stop() {
	if !m.running {
		return
	}
	paused := m.host.Paused()
	m.running = false
	m.incarnation++
	m.host.Kill()
	connections := m.connections
	m.connections = nil
	for _, c := range connections {
		at := c.closedAt()
		for len(c.open) > 0 {
			a := c.open[0]
			if paused {
				at = a.receivedAt
			}
			a.end(invariants.Unanswered, 0, at)
		}
	}
}

// endpoint returns a machine's entry on the endpoint list.
func (m *machine) endpoint(state endpointState) string {
	zone := "branch"
	if m.kind != kindCache {
		zone = "hub"
	}
	boot := int64(0)
	if m.bootedAt > 0 {
		boot = unixMillis(m.bootedAt)
	}
	return fmt.Sprintf(
		`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":0,"state":%q,"capacity_hint":1,"boot_ms":%d}`,
		m.name, m.address, zone, m.kind, state, boot)
}

// queueWork queues units of work and returns when they will be done. It returns false if the queue is full. The rate
// rises linearly while the machine warms up, and is divided by slowFactor under faults.Slow.
func (m *machine) queueWork(units float64) (Micros, bool) {
	now := m.sim.world.Now()
	rate := m.rate
	if m.bootedAt > 0 {
		if warm := float64(now-m.bootedAt) / float64(coldWarmUp); warm < 1 {
			rate *= coldInitialShare + (1-coldInitialShare)*warm
		}
	}
	if m.slow > 0 {
		rate /= m.slowFactor
	}
	m.busyUntil = max(m.busyUntil, now)
	if m.busyUntil-now > maxQueue {
		return 0, false
	}
	m.busyUntil += Micros(units / rate * 1e6)
	return m.busyUntil + serviceTime, true
}

// announce makes discovery publish the machine's state.
func (m *machine) announce(state endpointState) {
	m.sim.discovery.postEndpoints(false, []string{m.endpoint(state)}, []invariants.Event{m.listedEvent(state)})
}

// listedEvent returns the event for the checker when discovery publishes the machine's state.
func (m *machine) listedEvent(state endpointState) invariants.Event {
	return invariants.Event{
		Kind:        invariants.EndpointListed,
		Machine:     m.id,
		Usable:      state == stateUp,
		EffectiveAt: m.bootedAt,
	}
}
