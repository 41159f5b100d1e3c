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
	file   *deployment.File
	spec   *operator.File
	engine *transport.Engine
	desk   *Service
	rpc    *frontend.Server
}

const (
	serveOn    = 800 * time.Millisecond  // clients go on coming for a while after the word to end
	handOver   = 1500 * time.Millisecond // for its duties to be taken by others
	quietFor   = 40 * time.Millisecond   // all answered for so long
	askAfter   = time.Second             // a cache that has said nothing for so long is asked whether it is there
	goneFor    = 40 * time.Millisecond   // for the word to go out that this router ends: two of control's beats
	leaveEvery = 5 * time.Millisecond
	doorway    = 4
	spareShare = 2 // of the room for clients' bytes: buffers kept for reuse
	idleShare  = 5 // idle connections are closed this part of the time before the other side does
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
	desk := New(engine, log)
	router, names, err := deployment.NewRouter(file.Settings, file.Seed, desk)
	if err != nil {
		return nil, file.Wrap(err)
	}
	pool := attempts.New(engine, log, desk, caches, each, streams, span(connect), span(idle-idle/idleShare), askAfter)
	poll := discovery.New(engine, log, desk, file.DiscoveryAddress, wait, slack)
	rpc := frontend.NewServer(engine, log, desk, backlog, room, clients, clientIdle)
	desk.Attach(router, names, pool, poll, rpc.Tick)
	engine.Do(func() { err = poll.ApplyInitial(file.InitialEvents) })
	if err != nil {
		return nil, file.Wrap(fmt.Errorf("key 'known': %w", err))
	}
	if err := allowed(file, spec); err != nil {
		return nil, err
	}
	if spec.TraceRequests {
		desk.trace = &trace{log, names}
	}
	if backgroundwork.Enabled(spec) {
		tier, _ := file.Peers()
		engine.Do(func() {
			desk.upkeep, err = backgroundwork.New(spec, desk, log, backgroundwork.PeerAddresses{Listen: tier.Listen, Advertised: tier.Self, Known: tier.Addresses, Zone: int(names.OwnZone)},
				engine.Runtime(), file.Seed, names.Classes)
		})
		if err != nil {
			return nil, err
		}
	}
	bound(engine, clients, room)
	if err := engine.Listen(file.Listen, rpc.Accept); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", file.Listen, err)
	}
	r := &Server{file: file, spec: spec, engine: engine, desk: desk, rpc: rpc}
	desk.Run()
	log.WithFields(logrus.Fields{"name": file.Name, "listen": file.Listen}).Info("serving")
	return r, nil
}

// allowed checks what an operator's file switches on against what the site allows.
func allowed(file *deployment.File, spec *operator.File) error {
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

// bound sets what the engine holds. It takes a few more clients in than the front keeps: that must see a newcomer to
// make room for it.
func bound(e *transport.Engine, clients, room int) {
	e.SetMaxAccepted(clients + clients/8 + doorway)
	e.SetMaxSpareBytes(room / spareShare)
}

// Reload takes up another file: where the bulletin is and how it is polled, and the bounds on connections. It is
// checked whole before anything changes. What only a new start can change is named in the log.
func (r *Server) Reload(file *deployment.File, spec *operator.File) error {
	if err := file.Validate(); err != nil {
		return err
	}
	if err := allowed(file, spec); err != nil {
		return err
	}
	if u := r.desk.upkeep; u != nil {
		var err error
		if r.engine.Do(func() { err = u.Reload(spec) }); err != nil {
			return err
		}
	}
	clients, caches, each, backlog, room, idle, _ := file.ConnectionLimits()
	wait, slack, _ := file.WatchTimeouts()
	r.engine.Do(func() {
		bound(r.engine, clients, room)
		r.rpc.SetLimits(backlog, room, clients, idle)
		r.desk.pool.SetLimits(caches, each)
		r.desk.watch.Reconfigure(file.DiscoveryAddress, wait, slack)
	})
	keys := append(file.RestartKeys(r.file), spec.RestartKeys(r.spec)...)
	if r.desk.upkeep == nil && backgroundwork.Enabled(spec) {
		keys = append(keys, "upkeep")
	}
	if len(keys) > 0 {
		r.desk.log.WithField("keys", keys).Warn("reload: these keys hold from the next start on")
	}
	r.desk.log.WithField("bulletin", file.DiscoveryAddress).Info("reloaded")
	return nil
}

// Stats tells how background work and what routers agree on stand; false: none of it is on.
func (r *Server) Stats() (f backgroundwork.Stats, on bool) {
	r.engine.Do(func() {
		if on = r.desk.upkeep != nil; on {
			f = r.desk.upkeep.Stats()
		}
	})
	return f, on
}

// Shutdown serves on for a while, and then until all is answered and every answer is with the kernel.
func (r *Server) Shutdown() {
	for step := r.BeginShutdown(); !step(); {
		time.Sleep(leaveEvery)
	}
}

// BeginShutdown begins to leave; the result is called some hundred times a second, and tells when all is over.
func (r *Server) BeginShutdown() func() bool {
	u, g := r.desk.upkeep, r.engine.Runtime()
	r.engine.Do(func() {
		r.desk.SetLeaving()
		if u != nil {
			u.Leave()
		}
	})
	begun := g.Now()
	last, least := begun, begun.Add(serveOn)
	var gone time.Time
	return func() bool {
		now := g.Now()
		if !gone.IsZero() { // peers are being told
			if now.Sub(gone) < goneFor {
				return false
			}
			u.Stop()
			return true
		}
		quiet, handed := false, true
		r.engine.Do(func() {
			quiet = r.rpc.Idle()
			handed = u == nil || u.LeasesHandedOver() || now.Sub(begun) > handOver
		})
		if !quiet {
			last = now
		}
		if !quiet || !now.After(least) || now.Sub(last) <= quietFor || !handed {
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
	r.desk.turns.Stop(0)
	if u := r.desk.upkeep; u != nil {
		u.Stop()
	}
	r.engine.Stop()
}

func span(t routing.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
