package system

import (
	"io"

	"github.com/sirupsen/logrus"

	"threadrun/internal/deployment"
	"threadrun/internal/operator"
	"threadrun/internal/service"
	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	clientsConnectAfter = 30 * ms   // after a router's start
	connectsEndAfter    = 300 * ms  // after the start of a shutdown, until clients open no more connections
	shutdownStep        = 5 * ms    // interval of checks whether a shutdown is done
	maxShutdown         = 3700 * ms // after the start of a shutdown, until the process is killed
)

// router is a simulated router. It persists across restarts of its process.
type router struct {
	sim            *Simulation
	index          int
	incarnation    int
	host           *network.Host
	address        string
	server         *service.Server
	restarting     bool   // a fault has stopped the process or is shutting it down
	acceptsClients bool   // clients open connections to it
	wasReady       bool   // the process has answered a probe with yes
	blockingFaults int    // number of active faults that keep the router from answering
	lastBlockedAt  Micros // when such a fault last began or ended
	log            *logrus.Logger
}

func (r *router) id() invariants.RouterID { return invariants.RouterID(r.index) }

// start starts a router's next process.
func (r *router) start() error {
	s := r.sim
	r.incarnation++
	r.wasReady = false
	r.acceptsClients = true
	r.host.ClockSkew = 0 // a router can't detect that its clock is wrong from the start
	runtime := r.host.Start()
	r.log = logrus.New()
	r.log.SetOutput(io.Discard)
	r.log.SetFormatter(discardFormatter{})
	r.log.AddHook(logHook{r})
	config, err := deployment.Read("config.json", []byte(r.configuration()), func(string) string { return "" })
	if err != nil {
		return err
	}
	spec, err := operator.Read("operator.jsonc", []byte(r.operatorFile()))
	if err != nil {
		return err
	}
	spec.TraceRequests = true
	s.observeNotified(r.id(), len(s.discovery.events))
	r.server, err = service.StartOn(transport.NewWithRuntime(runtime, r.log), config, spec, r.log)
	if err != nil {
		return err
	}
	s.after(clientsConnectAfter, func() { s.clients.connect(r) })
	return nil
}

// becameReady is called when a client receives the answer yes to a probe.
func (r *router) becameReady() {
	if !r.wasReady {
		r.wasReady = true
		r.sim.history.recordEffect("router ready")
	}
}

// addBlockingFaults adds n, which may be negative, to the number of active faults that keep a router from answering.
// It notifies the checker when the first such fault begins and when the last one ends. r is nil for a machine, and
// addBlockingFaults then has no effect.
func (r *router) addBlockingFaults(n int) {
	if r == nil {
		return
	}
	r.blockingFaults += n
	r.lastBlockedAt = r.sim.world.Now()
	switch {
	case r.blockingFaults == 1 && n > 0:
		r.sim.observe(invariants.Event{Kind: invariants.RouterPaused, Router: r.id()})
	case r.blockingFaults == 0:
		r.sim.observe(invariants.Event{Kind: invariants.RouterResumed, Router: r.id()})
	}
}

// observePartition notifies the checker that a partition of a router has begun or ended. r is nil for a machine, and
// observePartition then has no effect.
func (r *router) observePartition(kind invariants.EventKind) {
	if r != nil {
		r.sim.observe(invariants.Event{Kind: kind, Router: r.id()})
	}
}

// crash kills a router's process, and starts the next one after a span.
func (r *router) crash(span Micros) bool {
	if r.restarting || !r.host.Running() {
		return false
	}
	r.restarting = true
	r.kill(span)
	return true
}

// kill kills a router's process, and starts the next one after a span.
func (r *router) kill(span Micros) {
	s := r.sim
	r.acceptsClients = false
	r.host.Kill()
	s.observe(invariants.Event{Kind: invariants.RouterDied, Router: r.id()})
	s.after(span, func() {
		if err := r.start(); err != nil {
			s.addProblem("router %d did not start: %v", r.index, err)
		}
		r.restarting = false
	})
}

// shutDown shuts a router down gracefully, and kills its process when the shutdown is done or after maxShutdown. A
// shutdown that takes longer is a problem, unless a fault kept the router from answering meanwhile. The next process
// starts a span after the end.
func (r *router) shutDown(span Micros) bool {
	s := r.sim
	if r.restarting || !r.host.Running() {
		return false
	}
	r.restarting = true
	incarnation, startedAt := r.incarnation, s.world.Now()
	var shutdownDone func() bool
	r.host.After(0, func() { shutdownDone = r.server.BeginShutdown() })
	s.after(connectsEndAfter, func() { r.acceptsClients = false })
	ended := false
	end := func() {
		if !ended && r.incarnation == incarnation {
			ended = true
			s.clients.reportDroppedRequests(r)
			r.kill(span)
		}
	}
	var checkDone func()
	checkDone = func() {
		switch {
		case ended || r.incarnation != incarnation:
		case shutdownDone != nil && shutdownDone():
			r.server.Stop()
			r.host.After(ms, end)
		default:
			r.host.After(shutdownStep, checkDone)
		}
	}
	r.host.After(shutdownStep, checkDone)
	s.after(maxShutdown, func() {
		blockedMeanwhile := r.blockingFaults > 0 || r.lastBlockedAt >= startedAt
		if !ended && r.incarnation == incarnation && !blockedMeanwhile {
			s.addProblem("router %d did not end its shutdown before it was killed", r.index)
		}
		end()
	})
	return true
}

// logHook passes a router's log entries to the history. It implements logrus.Hook.
type logHook struct{ router *router }

// Levels returns all levels, since the history records all entries.
func (h logHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire records an entry in the history.
func (h logHook) Fire(e *logrus.Entry) error {
	h.router.sim.history.recordLogEntry(h.router, e)
	return nil
}

// discardFormatter saves the formatting of log lines that are discarded. It implements logrus.Formatter.
type discardFormatter struct{}

// Format returns no bytes.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }
