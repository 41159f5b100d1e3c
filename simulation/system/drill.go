// Package drill runs a whole deployment on a network in memory: routers as service runs them, caches, parents, the origin, the bulletin and
// clients, each a stand-in with a state of its own. Faults are put upon it by a script, and the rules are watched over.
//
// The stand-ins keep to the public protocol pages. A router's own word is no ground for a verdict: what they see themselves is.
package system

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"threadrun/internal/clock"
	"threadrun/internal/deployment"
	"threadrun/internal/operator"
	"threadrun/internal/random"
	"threadrun/internal/service"
	"threadrun/internal/transport"
	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

const (
	ms                   = clock.Millisecond
	freshFor             = 20 * clock.Second
	drainGrace           = 500 * ms
	purgeGrace           = 500 * ms
	purgeTakes           = 3000 * ms
	slack                = 50 * ms
	coldInitialShare     = 0.2
	coldWarmUp           = 6 * clock.Second
	coldOverloadMultiple = 3.0
	coldOverloadWindow   = 1000 * ms
	announceDelay        = 400 * ms // until the list tells of a machine that has come back
	maxShutdown          = 3700 * ms
	transfersPerCache    = 2.2  // transfers at a time, at a cache
	sizeKB               = 1000 // of each object
	transferRate         = 3000 // KB a second
	transferSeconds      = float64(sizeKB) / transferRate
	servicePort          = 9000
	peerPort             = 7000
)

// Plan is the size of a deployment, and how it is run.
type Plan struct {
	faults.Topology
	Settle       Micros  // that visits go on beyond the time of scripts, to see all come back
	RequestRate  float64 // a second, at each router
	OperatorFile string  // the operator's file; KEY stands for the file of keys, and LISTEN and PEERS for addresses
	KeyFile      string
	OnLog        func(at Micros, router int, line string, fields map[string]any) // hears the routers' log but for that of visits; nil: nobody does
}

// requestsEnd is when visits end.
func (p *Plan) requestsEnd() Micros { return p.Until + p.Settle }

// DefaultPlan is three routers before twelve caches.
func DefaultPlan(key string) Plan {
	return Plan{Topology: faults.Topology{Routers: 3, Caches: 12, Parents: 2, Objects: 120, Groups: 8, Until: 30 * clock.Second}, RequestRate: 10,
		KeyFile: key}
}

// ClusterOperatorFile is the operator's file that has routers share all that they can.
const ClusterOperatorFile = `{"members": {"on": true, "key_file": "KEY", "listen": "LISTEN", "peers": PEERS}, "shards": {"on": true}, "rows": {"on": true},
 "presence": {"on": true}, "asking": {"on": true}, "renewing": {"on": true}, "probing": {"on": true}}`

// Simulation is one deployment under one script.
type Simulation struct {
	world       *network.World
	plan        Plan
	script      faults.Script
	checker     *invariants.Checker
	discovery   *discovery
	machines    []*machine
	origin      *machine
	routers     []*router
	clients     *clients
	quiet       *logrus.Logger
	nextID      invariants.MachineID
	lastAttempt invariants.AttemptID
	purges      []purge
	problems    []string // what keeps to no protocol
	history     *history
	closing     closingRequests
}

// purge is one that was issued.
type purge struct {
	issuedAt   Micros
	object     int // -1: of a group
	group      int
	carriedOut map[*machine]bool
}

// router is a router through its lives.
type router struct {
	d              *Simulation
	index          int
	incarnation    int
	host           *network.Host
	address        string
	server         *service.Server
	restarting     bool // by a fault that ends its process
	acceptsClients bool // clients come
	wasReady       bool
	pauses         int
	log            *logrus.Logger
}

func (r *router) id() invariants.RouterID { return invariants.RouterID(r.index) }

// Result is what came of it.
type Result struct {
	Violations           []invariants.Violation
	Problems             []string
	Hash                 uint64
	Steps                uint64
	Stats                invariants.Stats
	Situations           []string            // situations, in order: kinds that met, and what came about while which one or two were on
	Triples              map[string]struct{} // kinds that began within one second of one another: three at a time
	Pairs                map[string]struct{} // two at a time
	DrainPurgeSlowOrigin bool                // a drain, a purge and a slow origin did
	NeverReady           int                 // router lives that did not take visits
}

// Failed tells whether the script has found something.
func (r *Result) Failed() bool { return len(r.Violations) > 0 || len(r.Problems) > 0 }

// Kind names what it found, so that two findings can be told from one another: by its rule and reason, figures left out.
func (r *Result) Kind() string {
	if len(r.Violations) > 0 {
		b := r.Violations[0]
		return fmt.Sprintf("rule %d: %s", b.Rule, withoutFigures(b.Reason))
	}
	if len(r.Problems) > 0 {
		return withoutFigures(r.Problems[0])
	}
	return ""
}

// withoutFigures leaves the figures of a text out.
func withoutFigures(s string) string {
	return strings.Join(strings.FieldsFunc(s, func(r rune) bool { return r >= '0' && r <= '9' || r == '.' }), "#")
}

const firstObject = 0x0b1ec7000000 // the name of object 0

func objectName(n int) string { return fmt.Sprintf("%016x", firstObject+n) }

// objectNumber is the number of a name; below 0: it is not one of ours.
func objectNumber(name string) int {
	n, err := strconv.ParseUint(name, 16, 63)
	if err != nil {
		return -1
	}
	return int(n) - firstObject
}

func (d *Simulation) groupOf(n int) int { return n % d.plan.Groups }
func unixMillis(at Micros) int64        { return network.Epoch.UnixMilli() + int64(at/ms) }

// New sets a deployment up.
func New(seed uint32, plan Plan, script faults.Script) (*Simulation, error) {
	d := &Simulation{world: network.New(seed), plan: plan, script: script, quiet: logrus.New()}
	d.quiet.SetOutput(io.Discard)
	d.history = newStory(d)
	terms := invariants.Settings{DrainGrace: drainGrace, PurgeGrace: purgeGrace, Slack: slack, AbandonGrace: 100 * ms, DeadlineSlack: 150 * ms, LostAfter: 550 * ms, NotificationTimeout: 7 * clock.Second, ReconnectGrace: 3 * clock.Second, KeyWindow: 5 * clock.Second,
		SlowStart: map[invariants.MachineID]invariants.SlowStart{}}
	d.checker = invariants.New(terms)
	host := func(name string, a, b byte) *network.Host {
		return d.world.Host(name, netip.AddrFrom4([4]byte{10, 0, a, b}))
	}
	add := func(name, kind string, i int, rate float64, most int) *machine {
		a := map[string]byte{"cache": 1, "parent": 2, "origin": 3}[kind]
		m := &machine{d: d, name: name, slot: name, kind: kind, host: host(name, a, byte(i+1)), rate: rate, maxCopies: most}
		m.address = netip.AddrPortFrom(m.host.Addr, servicePort)
		d.assignID(m, terms)
		d.machines = append(d.machines, m)
		return m
	}
	fits := float64(plan.Caches) * transfersPerCache // transfers on the branch's link: a cache's part of it is what it can do
	for i := range plan.Caches {
		add(fmt.Sprintf("cache-%d", i), "cache", i, transfersPerCache/transferSeconds, max(plan.Objects/2, 8))
	}
	for i := range plan.Parents {
		add(fmt.Sprintf("parent-%d", i), "parent", i, fits/transferSeconds, plan.Objects)
	}
	d.origin = add(faults.Origin, "origin", 0, fits/transferSeconds, 0)
	d.discovery = &discovery{d: d, host: host(faults.Discovery, 4, 1)}
	for i := range plan.Routers {
		r := &router{d: d, index: i, host: host(fmt.Sprintf("router-%d", i), 5, byte(i+1))}
		r.address = netip.AddrPortFrom(r.host.Addr, servicePort).String()
		d.routers = append(d.routers, r)
	}
	d.clients = &clients{d: d, host: host("clients", 6, 1), random: random.Source{Seed: seed ^ 0x636c6965}}
	d.closing = closingRequests{from: d.faultsOver(), asked: map[invariants.RequestID]bool{}}
	for i, l := range script {
		if err := d.checkLine(l); err != nil {
			return nil, fmt.Errorf("line %d, %q: %w", i+1, l.String(), err)
		}
	}
	return d, nil
}

// assignID gives a machine a name in the eyes of the rules.
func (d *Simulation) assignID(m *machine, terms invariants.Settings) {
	m.id = d.nextID
	d.nextID++
	if m.kind != "origin" {
		terms.SlowStart[m.id] = invariants.SlowStart{InitialShare: coldInitialShare, WarmUp: coldWarmUp, OverloadMultiple: coldOverloadMultiple, Window: coldOverloadWindow, Capacity: m.rate}
	}
}

// Run plays the script to its end.
func (d *Simulation) Run() (*Result, error) {
	d.discovery.start()
	var lines []string
	var about []invariants.Event
	for _, m := range d.machines {
		m.start(false)
		lines = append(lines, m.endpoint("up"))
	}
	about = append(about, invariants.Event{Kind: invariants.EndpointListed, Machine: invariants.NoMachine, Usable: true})
	d.discovery.postEndpoints(true, lines, about)
	for _, r := range d.routers {
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	d.clients.start()
	for _, l := range d.script {
		d.world.At(l.At, func() { d.apply(l) })
	}
	for d.world.Now() < d.stopAt() {
		d.world.Run(min(d.world.Now()+100*ms, d.stopAt()))
	}
	d.checker.Finish(d.world.Now())
	d.checkRecovered()
	return d.history.result(), nil
}

// stopAt is the end: that of the plan, with a while for what is out; soon, once a rule is broken.
func (d *Simulation) stopAt() Micros {
	if d.history.stopAt > 0 {
		return d.history.stopAt
	}
	return d.plan.requestsEnd() + 3*clock.Second
}

// observe has the rules take an event.
func (d *Simulation) observe(e invariants.Event) {
	e.At = d.world.Now()
	d.world.Record('R', uint64(e.Kind), uint64(e.Request), uint64(e.Attempt), uint64(e.Router), uint64(e.Machine), uint64(e.Outcome))
	d.checker.Observe(e)
	if len(d.checker.Violations()) > 0 {
		d.history.stopSoon()
	}
	d.closing.count(d, &e)
	d.history.observe(&e)
}

// problem notes what keeps to no protocol.
func (d *Simulation) problem(format string, args ...any) {
	if len(d.problems) < 16 {
		d.problems = append(d.problems, fmt.Sprintf("at %.3fs: ", d.world.Now().Seconds())+fmt.Sprintf(format, args...))
	}
	d.history.stopSoon()
}

func (d *Simulation) notified(r invariants.RouterID, no int) {
	if r >= 0 {
		d.observe(invariants.Event{Kind: invariants.Notified, Router: r, Number: no})
	}
}

// routerAt finds a router by an address of its machine.
func (d *Simulation) routerAt(from string) invariants.RouterID {
	a, err := netip.ParseAddrPort(from)
	if err != nil {
		return -1
	}
	for _, r := range d.routers {
		if r.host.Addr == a.Addr() {
			return r.id()
		}
	}
	return -1
}

// machineListed finds a machine by its name on the list.
func (d *Simulation) machineListed(name string) *machine {
	if name == "" {
		return nil
	}
	for _, m := range d.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (d *Simulation) machineInSlot(name string) *machine {
	for _, m := range d.machines {
		if m.slot == name {
			return m
		}
	}
	return nil
}

// reachable tells whether what one machine sends gets to another.
func (d *Simulation) reachable(a, b *machine) bool {
	return !a.host.Partitioned() && !b.host.Partitioned() && !d.world.Link(a.host, b.host).Cut
}

// isPurged tells whether a machine that has carried out a purge would drop a copy for it.
func (d *Simulation) isPurged(x *cachedCopy, m *machine) bool {
	for i := range d.purges {
		p := &d.purges[i]
		if x.madeAt < p.issuedAt && p.carriedOut[m] && (p.object == x.object || p.object < 0 && p.group == d.groupOf(x.object)) {
			return true
		}
	}
	return false
}

// issuePurge has a purge told, and carried out by each machine in its own time.
func (d *Simulation) issuePurge(object, group int) {
	now := d.world.Now()
	d.purges = append(d.purges, purge{now, object, group, map[*machine]bool{}})
	at := len(d.purges) - 1
	for _, m := range d.machines {
		late := Micros(d.world.Random.IntN(int(purgeTakes - 100*ms)))
		d.world.At(now+late, func() { d.purges[at].carriedOut[m] = true }) // also while its process has no turn: it drops them before anything else
	}
	e := invariants.Event{Kind: invariants.Purged, EffectiveAt: now / ms * ms, Group: group, WholeGroup: object < 0}
	if object < 0 {
		d.discovery.post(fmt.Sprintf(`"recall":{"lot":%d,"issued":%d}`, group, unixMillis(now)), e)
		return
	}
	e.Object = uint64(object)
	d.discovery.post(fmt.Sprintf(`"recall":{"item":%q,"issued":%d}`, objectName(object), unixMillis(now)), e)
}

// start begins a router's next life.
func (r *router) start() error {
	d := r.d
	r.incarnation++
	r.wasReady, r.acceptsClients = false, true
	r.host.ClockSkew = 0 // a clock that is wrong from the start on can't be known
	ground := r.host.Start()
	r.log = logrus.New()
	r.log.SetOutput(io.Discard)
	r.log.SetFormatter(discardFormatter{})
	r.log.AddHook(logHook{r})
	file, err := deployment.Read("config.json", []byte(d.configuration(r)), func(string) string { return "" })
	if err != nil {
		return err
	}
	var peers []string
	for _, o := range d.routers {
		peers = append(peers, fmt.Sprintf("%q", netip.AddrPortFrom(o.host.Addr, peerPort)))
	}
	text := d.plan.OperatorFile
	if text == "" {
		text = `{}`
	}
	text = strings.NewReplacer("KEY", d.plan.KeyFile, "LISTEN", netip.AddrPortFrom(r.host.Addr, peerPort).String(), "PEERS",
		"["+strings.Join(peers, ",")+"]").Replace(text)
	spec, err := operator.Read("operator.jsonc", []byte(text))
	if err != nil {
		return err
	}
	spec.TraceRequests = true
	d.notified(r.id(), len(d.discovery.events))
	r.server, err = service.StartOn(transport.NewWithRuntime(ground, r.log), file, spec, r.log)
	if err != nil {
		return err
	}
	d.world.At(d.world.Now()+30*ms, func() { d.clients.connect(r) })
	return nil
}

// becameReady hears that a client was told that visits may come.
func (r *router) becameReady() {
	if !r.wasReady {
		r.wasReady = true
		r.d.history.reached("router ready")
	}
}

// configuration is a router's file.
func (d *Simulation) configuration(r *router) string {
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"%x","bulletin":"%s:%d","limits":{"cores":1,"memory_mb":16,"sockets":512},
 "polls":{"wait_ms":1000,"slack_ms":300},"known":%s,"settings":%s}`, r.index, r.address, d.world.Random.Uint64(), d.discovery.host.Addr, discoveryPort,
		d.discovery.eventsAfter(0), d.settings())
}

// settings are those of a branch below a hub, with one use case of each effect.
func (d *Simulation) settings() string {
	return fmt.Sprintf(`{"az":"branch","failure_domains":["hub","branch"],"kinds":["cache","parent","origin"],"fleet_size":%d,
 "discovery":"push","tenants":[],
 "lanes":[{"name":"page","aim":300,"aim_stretch":2,"deadline":2000,"effect":"read_like","group":"all","value":1,"late_worth":0.2,"window":5000},
  {"name":"order","aim":300,"deadline":2000,"effect":"non_idempotent","group":"all","value":3,"window":5000},
  {"name":"mark","aim":300,"deadline":2000,"effect":"idempotency_key","group":"all","value":2,"window":5000}],
 "limits":{"send_cap":6,"parallel_tries":false,"cancelling":true,"peers":true,"may_probe":true,"connect_timeout":300,"conn_idle":4000,
   "streams_per_conn":32},
 "rules":{"cold_from":%g,"cold":%d,"fall_multiple":%g,"overload_for":%d,"drain_grace":%d},
 "extra":{"class_fresh":[%d,0,0],"usable_after":[5000,0,0],"class_write":[false,true,true],"worth_when_old":[0.5,1,1],
   "mid_kind":1,"root_kind":2,"home_hub":[0,0],"crew_by_zone":[0,%d],"pace_kb_per_s":%d,"pipe_kb_per_s":[0,%g],
   "siblings":"location","can_join":true,"detail":"all","direct":true,"parent_starts_at":%g,"parent_ramp":%d,
   "parent_breaks_at":%g,"obey_after":%d,"purge_takes":%d}}`, d.plan.Routers, coldInitialShare, coldWarmUp/ms, coldOverloadMultiple, coldOverloadWindow/ms, drainGrace/ms,
		freshFor/ms, d.plan.Routers, transferRate, transferRate*transfersPerCache*float64(d.plan.Caches), coldInitialShare, coldWarmUp/ms, coldOverloadMultiple, purgeGrace/ms, purgeTakes/ms)
}

// logHook hands a router's log lines to the story.
type logHook struct{ r *router }

func (h logHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h logHook) Fire(e *logrus.Entry) error {
	h.r.d.history.logged(h.r, e)
	return nil
}

// discardFormatter writes no line.
type discardFormatter struct{}

func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// sortedNames gives a set's members in order.
func sortedNames(set map[string]struct{}) []string {
	all := make([]string, 0, len(set))
	for s := range set {
		all = append(all, s)
	}
	slices.Sort(all)
	return all
}
