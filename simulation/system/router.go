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
	clientsConnectAfter = 30 * ms  // after a router's start
	connectsEndAfter    = 300 * ms // after the start of a shutdown
	shutdownStep        = 5 * ms
	maxShutdown         = 3700 * ms // until the process is killed
)

// router is a router, across the restarts of its process.
type router struct {
	sim            *Simulation
	index          int
	incarnation    int
	host           *network.Host
	address        string
	server         *service.Server
	restarting     bool // because of a fault
	acceptsClients bool // clients connect to it
	wasReady       bool
	blockingFaults int    // active faults that keep it from answering
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

// becameReady is called when a probe was answered with yes.
func (r *router) becameReady() {
	if !r.wasReady {
		r.wasReady = true
		r.sim.history.recordEffect("router ready")
	}
}

// addBlockingFaults adds n, which may be negative, to the faults that keep a router from answering. It notifies the
// checker when the first such fault begins and when the last one ends. r is nil for a machine.
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

// observePartition notifies the checker of a partition of a router or its end. r is nil for a machine.
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

func (r *router) kill(span Micros) {
	s := r.sim
	r.acceptsClients = false
	r.host.Kill()
	s.observe(invariants.Event{Kind: invariants.RouterDied, Router: r.id()})
	s.after(span, func() {
		if err := r.start(); err != nil {
			s.addProblem("a router did not start: %v", err)
		}
		r.restarting = false
	})
}

// shutDown shuts a router down gracefully, and kills it after maxShutdown. The next process starts a span later.
func (r *router) shutDown(span Micros) bool {
	s := r.sim
	if r.restarting || !r.host.Running() {
		return false
	}
	r.restarting = true
	incarnation, begun := r.incarnation, s.world.Now()
	var step func() bool
	r.host.After(0, func() { step = r.server.BeginShutdown() })
	s.after(connectsEndAfter, func() { r.acceptsClients = false })
	ended := false
	end := func() {
		if !ended && r.incarnation == incarnation {
			ended = true
			s.clients.reportDroppedRequests(r)
			r.kill(span)
		}
	}
	var proceed func()
	proceed = func() {
		switch {
		case ended || r.incarnation != incarnation:
		case step != nil && step():
			r.server.Stop()
			r.host.After(ms, end)
		default:
			r.host.After(shutdownStep, proceed)
		}
	}
	r.host.After(shutdownStep, proceed)
	s.after(maxShutdown, func() {
		pausedMeanwhile := r.blockingFaults > 0 || r.lastBlockedAt >= begun
		if !ended && r.incarnation == incarnation && !pausedMeanwhile {
			s.addProblem("a router did not end before it was killed")
		}
		end()
	})
	return true
}

// logHook passes a router's log entries to the history.
type logHook struct{ router *router }

// Levels returns all levels.
func (h logHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire passes an entry on.
func (h logHook) Fire(e *logrus.Entry) error {
	h.router.sim.history.recordLogEntry(h.router, e)
	return nil
}

// discardFormatter formats no lines.
type discardFormatter struct{}

// Format returns no bytes.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }
