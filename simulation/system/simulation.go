package system

import (
	"fmt"
	"io"
	"net/netip"
	"slices"

	"github.com/sirupsen/logrus"

	"threadrun/internal/clock"
	"threadrun/internal/random"
	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	discoveryPort = 8000
	servicePort   = 9000 // of routers, for clients, and of machines
	peerPort      = 7000

	sliceLength = 100 * ms         // of virtual time, from one check whether to stop to the next
	answerTime  = 3 * clock.Second // after the last request, until the run ends; open requests end meanwhile
	maxProblems = 16               // further ones are not recorded
)

// Simulation is one deployment under the faults of one script.
type Simulation struct {
	world         *network.World
	plan          Plan
	script        faults.Script
	checker       *invariants.Checker
	discovery     *discovery
	machines      []*machine
	origin        *machine
	routers       []*router
	clients       *clients
	discardLog    *logrus.Logger // of all hosts except routers
	nextID        invariants.MachineID
	lastAttempt   invariants.AttemptID
	purges        []purge
	problems      []string // failures other than violations of rules, such as errors in a protocol
	history       *history
	finalRequests finalRequestCounter
	losses        map[*network.Link]activeFaults // active faults.Loss, by link
	observer      func(invariants.Event)         // called with each event, for tests; may be nil
}

// New sets up a deployment. Its error wraps errUnknownTarget if the deployment lacks a target of the script.
func New(seed uint32, plan Plan, script faults.Script) (*Simulation, error) {
	s := &Simulation{world: network.New(seed), plan: plan, script: script, discardLog: logrus.New(),
		losses: map[*network.Link]activeFaults{}}
	s.discardLog.SetOutput(io.Discard)
	s.history = newHistory(s)
	s.checker = invariants.New(checkerSettings(&plan))
	s.addMachines()
	s.discovery = &discovery{sim: s, host: s.addHost(faults.Discovery, 4, 1)}
	s.addRouters()
	s.clients = &clients{sim: s, host: s.addHost("clients", 6, 1), random: random.Source{Seed: seed ^ 0x636c6965}}
	s.finalRequests = finalRequestCounter{faultsEndAt: s.faultsEnd(), sent: map[invariants.RequestID]bool{}}
	for i, l := range script {
		if err := s.checkLine(l); err != nil {
			return nil, fmt.Errorf("line %d, %q: %w", i+1, l.String(), err)
		}
	}
	return s, nil
}

// checkerSettings returns the parameters of the checker's rules. assignID adds the slow start of each machine.
func checkerSettings(plan *Plan) invariants.Settings {
	return invariants.Settings{
		DrainGrace:          drainGrace,
		PurgeGrace:          purgeGrace,
		Slack:               clockSlack,
		AbandonGrace:        100 * ms,
		DeadlineSlack:       150 * ms,
		LostAfter:           550 * ms,
		NotificationTimeout: 7 * clock.Second,
		ReconnectGrace:      3 * clock.Second,
		KeyWindow:           plan.KeyWindow,
		SlowStart:           map[invariants.MachineID]invariants.SlowStart{},
	}
}

// addHost adds a host at 10.0.subnet.number.
func (s *Simulation) addHost(name string, subnet, number byte) *network.Host {
	return s.world.AddHost(name, netip.AddrFrom4([4]byte{10, 0, subnet, number}))
}

// addRouters adds the routers and their hosts.
func (s *Simulation) addRouters() {
	for i := range s.plan.Routers {
		r := &router{sim: s, index: i, host: s.addHost(fmt.Sprintf("router-%d", i), 5, byte(i+1))}
		r.address = netip.AddrPortFrom(r.host.Addr, servicePort).String()
		s.routers = append(s.routers, r)
	}
}

// Run runs the simulation to its end, or until soon after the first failure. It must be called only once. It returns
// an error if a router can't be started before the run.
func (s *Simulation) Run() (*Result, error) {
	s.discovery.start()
	var endpoints []string
	for _, m := range s.machines {
		m.start(false)
		endpoints = append(endpoints, m.endpoint(stateUp))
	}
	listed := invariants.Event{Kind: invariants.EndpointListed, Machine: invariants.NoMachine, Usable: true}
	s.discovery.postEndpoints(true, endpoints, []invariants.Event{listed})
	for _, r := range s.routers {
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	s.clients.start()
	for _, l := range s.script {
		s.world.At(l.At, func() { s.apply(l) })
	}
	for s.world.Now() < s.stopAt() {
		s.world.Run(min(s.world.Now()+sliceLength, s.stopAt()))
	}
	s.checker.Finish(s.world.Now())
	s.checkRecovered()
	if s.plan.Log != nil {
		s.plan.Log.End(s.world.Now())
	}
	return s.result(), nil
}

// stopAt returns the end of the run: that of the plan, or stopDelay after the first failure.
func (s *Simulation) stopAt() Micros {
	if s.history.stopAt > 0 {
		return s.history.stopAt
	}
	return s.plan.requestsEnd() + answerTime
}

// after calls f after a span.
func (s *Simulation) after(span Micros, f func()) { s.world.At(s.world.Now()+span, f) }

// observe sets the time of an event and passes it to the checker and the other observers.
func (s *Simulation) observe(e invariants.Event) {
	e.At = s.world.Now()
	s.world.Record('R', uint64(e.Kind), uint64(e.Request), uint64(e.Attempt), uint64(e.Router), uint64(e.Machine),
		uint64(e.Outcome))
	s.checker.Observe(e)
	if len(s.checker.Violations()) > 0 {
		s.history.stopSoon()
	}
	s.finalRequests.observe(s.plan.requestsEnd(), &e)
	s.history.observe(&e)
	if s.observer != nil {
		s.observer(e)
	}
}

// addProblem records a failure other than a violation of a rule.
func (s *Simulation) addProblem(format string, args ...any) {
	if len(s.problems) < maxProblems {
		at := fmt.Sprintf("at %.3fs: ", s.world.Now().Seconds())
		s.problems = append(s.problems, at+fmt.Sprintf(format, args...))
	}
	s.history.stopSoon()
}

// observeNotified tells the checker that a router has received discovery's events up to a number. It ignores
// connections that do not come from a router, for which r is negative.
func (s *Simulation) observeNotified(r invariants.RouterID, number int) {
	if r >= 0 {
		s.observe(invariants.Event{Kind: invariants.Notified, Router: r, Number: number})
	}
}

// routerAt returns the router whose host has the IP address in a host:port pair. It returns -1 if there is none.
func (s *Simulation) routerAt(address string) invariants.RouterID {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return -1
	}
	for _, r := range s.routers {
		if r.host.Addr == a.Addr() {
			return r.id()
		}
	}
	return -1
}

// routerNamed returns a router by its name in scripts, or nil.
func (s *Simulation) routerNamed(name string) *router {
	for _, r := range s.routers {
		if r.host.Name == name {
			return r
		}
	}
	return nil
}

// removeItem removes the first occurrence of an item from a list in place. It does not zero the list's tail, since
// loops over the list may still be running.
func removeItem[T comparable](list []T, item T) []T {
	i := slices.Index(list, item)
	if i < 0 {
		return list
	}
	return append(list[:i], list[i+1:]...)
}
