package service

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/discovery"
	"threadrun/internal/frontend"
	"threadrun/internal/operator"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// Server is a router at work.
type Server struct {
	file         *deployment.File
	operatorFile *operator.File
	engine       *transport.Engine
	proxy        *proxy
	frontend     *frontend.Server
}

const (
	minDrain             = 800 * time.Millisecond  // clients go on coming for a while after the word to end
	maxHandover          = 1500 * time.Millisecond // for its duties to be taken by others
	idleFor              = 40 * time.Millisecond   // all answered for so long
	silentAfter          = time.Second             // a cache that has said nothing for so long is asked whether it is there
	announceDeparture    = 40 * time.Millisecond   // for the word to go out that this router ends: two of control's beats
	shutdownPollInterval = 5 * time.Millisecond
	spareConnections     = 4
	spareBytesDivisor    = 2 // of the room for clients' bytes: buffers kept for reuse
	idleMarginDivisor    = 5 // idle connections are closed this part of the time before the other side does
)

// Start makes a router of its parts and opens its doors. The operator's file switches on what the deployment does not need.
func Start(file *deployment.File, spec *operator.File, log *logrus.Logger) (*Server, error) {
	_, _, descriptors, err := file.Limits()
	if err != nil {
		return nil, err
	}
	engine, err := transport.New(log, descriptors)
	if err != nil {
		return nil, err
	}
	return StartOn(engine, file, spec, log)
}

// StartOn makes a router on an engine that nothing else uses.
func StartOn(engine *transport.Engine, file *deployment.File, spec *operator.File, log *logrus.Logger) (*Server, error) {
	clients, caches, each, backlog, room, clientIdle, err := file.ConnectionLimits()
	if err != nil {
		return nil, err
	}
	wait, slack, err := file.WatchTimeouts()
	if err != nil {
		return nil, err
	}
	connect, idle, streams, err := deployment.CacheConnections(file.Settings)
	if err != nil {
		return nil, file.Wrap(err)
	}
	desk := newProxy(engine, log)
	router, names, err := deployment.NewRouter(file.Settings, file.Seed, desk)
	if err != nil {
		return nil, file.Wrap(err)
	}
	pool := attempts.New(engine, log, desk, caches, each, streams, duration(connect), duration(idle-idle/idleMarginDivisor), silentAfter)
	poll := discovery.New(engine, log, desk, file.DiscoveryAddress, wait, slack)
	rpc := frontend.NewServer(engine, log, desk, backlog, room, clients, clientIdle)
	desk.attach(router, names, pool, poll, rpc.Tick)
	engine.Do(func() { err = poll.ApplyInitial(file.InitialEvents) })
	if err != nil {
		return nil, file.Wrap(fmt.Errorf("key 'known': %w", err))
	}
	if err := checkPermissions(file, spec); err != nil {
		return nil, err
	}
	if spec.TraceRequests {
		desk.requestLog = &requestLog{log, names}
	}
	if backgroundwork.Enabled(spec) {
		tier, _ := file.Peers()
		engine.Do(func() {
			desk.background, err = backgroundwork.New(spec, desk, log, backgroundwork.PeerAddresses{Listen: tier.Listen, Advertised: tier.Self, Known: tier.Addresses, Zone: int(names.OwnZone)},
				engine.Runtime(), file.Seed, names.Classes)
		})
		if err != nil {
			return nil, err
		}
	}
	setEngineLimits(engine, clients, room)
	if err := engine.Listen(file.Listen, rpc.Accept); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", file.Listen, err)
	}
	r := &Server{file: file, operatorFile: spec, engine: engine, proxy: desk, frontend: rpc}
	desk.run()
	log.WithFields(logrus.Fields{"name": file.Name, "listen": file.Listen}).Info("serving")
	return r, nil
}

// checkPermissions checks what an operator's file switches on against what the site allows.
func checkPermissions(file *deployment.File, spec *operator.File) error {
	tier, err := file.Peers()
	switch {
	case err != nil:
		return err
	case spec.Membership.Enabled && !tier.PeersAllowed:
		return spec.KeyError("members.on", "is true, but the site does not let routers talk to each other")
	case spec.ShardMap.Enabled && !tier.PeersAllowed:
		return spec.KeyError("shards.on", "is true, but the site does not let routers talk to each other")
	case spec.HealthChecks.Enabled && !tier.ProbingAllowed:
		return spec.KeyError("probing.on", "is true, but the site does not let routers probe caches")
	}
	return nil
}

// setEngineLimits sets what the engine holds. It takes a few more clients in than the front keeps: that must see a newcomer to
// make room for it.
func setEngineLimits(e *transport.Engine, clients, room int) {
	e.SetMaxAccepted(clients + clients/8 + spareConnections)
	e.SetMaxSpareBytes(room / spareBytesDivisor)
}

// Reload takes up another file: where the bulletin is and how it is polled, and the bounds on connections. It is
// checked whole before anything changes. What only a new start can change is named in the log.
func (r *Server) Reload(file *deployment.File, spec *operator.File) error {
	if err := file.Validate(); err != nil {
		return err
	}
	if err := checkPermissions(file, spec); err != nil {
		return err
	}
	if u := r.proxy.background; u != nil {
		var err error
		if r.engine.Do(func() { err = u.Reload(spec) }); err != nil {
			return err
		}
	}
	clients, caches, each, backlog, room, idle, _ := file.ConnectionLimits()
	wait, slack, _ := file.WatchTimeouts()
	r.engine.Do(func() {
		setEngineLimits(r.engine, clients, room)
		r.frontend.SetLimits(backlog, room, clients, idle)
		r.proxy.pool.SetLimits(caches, each)
		r.proxy.watch.Reconfigure(file.DiscoveryAddress, wait, slack)
	})
	keys := append(file.RestartKeys(r.file), spec.RestartKeys(r.operatorFile)...)
	if r.proxy.background == nil && backgroundwork.Enabled(spec) {
		keys = append(keys, "upkeep")
	}
	if len(keys) > 0 {
		r.proxy.log.WithField("keys", keys).Warn("reload: these keys hold from the next start on")
	}
	r.proxy.log.WithField("bulletin", file.DiscoveryAddress).Info("reloaded")
	return nil
}

// Stats tells how background work and what routers agree on stand; false: none of it is on.
func (r *Server) Stats() (f backgroundwork.Stats, on bool) {
	r.engine.Do(func() {
		if on = r.proxy.background != nil; on {
			f = r.proxy.background.Stats()
		}
	})
	return f, on
}

// Shutdown serves on for a while, and then until all is answered and every answer is with the kernel.
func (r *Server) Shutdown() {
	for step := r.BeginShutdown(); !step(); {
		time.Sleep(shutdownPollInterval)
	}
}

// BeginShutdown begins to leave; the result is called some hundred times a second, and tells when all is over.
func (r *Server) BeginShutdown() func() bool {
	u, g := r.proxy.background, r.engine.Runtime()
	r.engine.Do(func() {
		r.proxy.beginDraining()
		if u != nil {
			u.Leave()
		}
	})
	begun := g.Now()
	last, least := begun, begun.Add(minDrain)
	var gone time.Time
	return func() bool {
		now := g.Now()
		if !gone.IsZero() { // peers are being told
			if now.Sub(gone) < announceDeparture {
				return false
			}
			u.Stop()
			return true
		}
		quiet, handed := false, true
		r.engine.Do(func() {
			quiet = r.frontend.Idle()
			handed = u == nil || u.LeasesHandedOver() || now.Sub(begun) > maxHandover
		})
		if !quiet {
			last = now
		}
		if !quiet || !now.After(least) || now.Sub(last) <= idleFor || !handed {
			return false
		}
		if u == nil {
			return true
		}
		gone = now
		u.AnnounceDeparture()
		return false
	}
}

// Stop ends everything at once.
func (r *Server) Stop() {
	r.proxy.loop.Stop(0)
	if u := r.proxy.background; u != nil {
		u.Stop()
	}
	r.engine.Stop()
}

func duration(t routing.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
