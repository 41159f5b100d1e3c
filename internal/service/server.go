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
)

// Server is a running router. Its methods may be called from any goroutine, but only one at a time.
type Server struct {
	file         *deployment.File
	operatorFile *operator.File
	engine       *transport.Engine
	proxy        *proxy
	frontend     *frontend.Server
}

const (
	// livenessCheckAfter is how long an endpoint may send nothing before its connections are checked.
	livenessCheckAfter = time.Second
	// The router closes an idle connection to a cache before the cache does, 1/idleMarginDivisor of the cache's idle
	// timeout earlier.
	idleMarginDivisor = 5
	// The engine accepts more connections than the front end permits, by 1/spareConnectionsDivisor of the limit plus
	// spareConnections, because the front end can only evict an idle connection after it has received the new one.
	spareConnections        = 4
	spareConnectionsDivisor = 8
	// Up to 1/spareBytesDivisor of the limit on clients' bytes may be kept in spare buffers for reuse.
	spareBytesDivisor = 2
)

// Start starts a router on the kernel's network and opens its listener. file is the configuration, and operatorFile
// enables optional features. Errors name the file and key, or the address.
func Start(file *deployment.File, operatorFile *operator.File, log *logrus.Logger) (*Server, error) {
	limits, err := file.Limits()
	if err != nil {
		return nil, err
	}
	engine, err := transport.New(log, limits.Descriptors)
	if err != nil {
		return nil, err
	}
	return StartOn(engine, file, operatorFile, log)
}

// StartOn is like Start, but starts the router on the given engine, which nothing else may use.
func StartOn(engine *transport.Engine, file *deployment.File, operatorFile *operator.File, log *logrus.Logger) (
	*Server, error) {
	limits, err := file.ConnectionLimits()
	if err != nil {
		return nil, err
	}
	s := &Server{file: file, operatorFile: operatorFile, engine: engine, proxy: newProxy(engine, log)}
	if err := s.assemble(limits); err != nil {
		return nil, err
	}
	if err := checkPermissions(file, operatorFile); err != nil {
		return nil, err
	}
	if operatorFile.TraceRequests {
		s.proxy.requestLog = &requestLog{log, s.proxy.names}
	}
	if err := s.startBackground(); err != nil {
		return nil, err
	}
	setEngineLimits(engine, limits)
	if err := engine.Listen(file.Listen, s.frontend.Accept); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", file.Listen, err)
	}
	s.proxy.run()
	log.WithFields(logrus.Fields{
		"name":   file.Name,
		"listen": file.Listen,
		"zone":   s.proxy.names.OwnZoneName,
	}).Info("listening")
	return s, nil
}

// assemble creates the components that every router has, and applies the initial endpoint events of the
// configuration.
func (s *Server) assemble(limits deployment.ConnectionLimits) error {
	file, log := s.file, s.proxy.log
	watchTimeouts, err := file.WatchTimeouts()
	if err != nil {
		return err
	}
	connections, err := deployment.ReadCacheConnections(file.Settings)
	if err != nil {
		return file.Wrap(err)
	}
	router, names, err := deployment.NewRouter(file.Settings, file.Seed, s.proxy)
	if err != nil {
		return file.Wrap(err)
	}
	pool := attempts.New(s.engine, log, s.proxy, attempts.Config{
		MaxConnections:           limits.Endpoints,
		MaxPerEndpoint:           limits.PerEndpoint,
		MaxAttemptsPerConnection: connections.Streams,
		ConnectTimeout:           connections.ConnectTimeout.Duration(),
		IdleTimeout:              (connections.IdleTimeout - connections.IdleTimeout/idleMarginDivisor).Duration(),
		LivenessCheckAfter:       livenessCheckAfter,
	})
	watch := discovery.New(s.engine, log, s.proxy, file.DiscoveryAddress, watchTimeouts.Wait, watchTimeouts.Slack)
	s.frontend = frontend.NewServer(s.engine, log, s.proxy, frontendLimits(limits))
	s.proxy.attach(router, names, pool, watch, s.frontend)
	s.engine.Do(func() { err = watch.ApplyInitial(file.InitialEvents) })
	if err != nil {
		return file.Wrap(fmt.Errorf("key 'known': %w", err))
	}
	return nil
}

// startBackground starts background work if the operator's file enables any kind of it.
func (s *Server) startBackground() error {
	if !backgroundwork.Enabled(s.operatorFile) {
		return nil
	}
	peers, err := s.file.Peers()
	if err != nil {
		return err
	}
	addresses := backgroundwork.PeerAddresses{
		Listen:     peers.Listen,
		Advertised: peers.Advertised,
		Known:      peers.Known,
		Zone:       int(s.proxy.names.OwnZone),
	}
	s.engine.Do(func() {
		s.proxy.background, err = backgroundwork.New(s.operatorFile, s.proxy, s.proxy.log, addresses,
			s.engine.Runtime(), s.file.Seed, s.proxy.names.Classes)
	})
	return err
}

func setEngineLimits(engine *transport.Engine, limits deployment.ConnectionLimits) {
	engine.SetMaxAccepted(limits.Clients + limits.Clients/spareConnectionsDivisor + spareConnections)
	engine.SetMaxSpareBytes(limits.ClientBytes / spareBytesDivisor)
}

func frontendLimits(limits deployment.ConnectionLimits) frontend.Limits {
	return frontend.Limits{
		Connections: limits.Clients,
		UnreadBytes: limits.UnreadBytes,
		ClientBytes: limits.ClientBytes,
		IdleTimeout: limits.ClientIdle,
	}
}

// Stats returns the counters of background work and of the cluster. enabled is false if both are disabled.
func (s *Server) Stats() (stats backgroundwork.Stats, enabled bool) {
	s.engine.Do(func() {
		enabled = s.proxy.background != nil
		if enabled {
			stats = s.proxy.background.Stats()
		}
	})
	return stats, enabled
}

// Stop closes the listener and all connections, and ends the loops, without draining first.
func (s *Server) Stop() {
	s.proxy.loop.Stop(0)
	if background := s.proxy.background; background != nil {
		background.Stop()
	}
	s.engine.Stop()
}
