package service

import (
	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/operator"
)

// Reload applies changed files: the discovery address and the watch's timeouts, the connection limits, and the
// settings that background work can change while it runs. It validates both files completely before changing
// anything. Changed keys that need a restart are logged.
func (s *Server) Reload(file *deployment.File, operatorFile *operator.File) error {
	reloadable, err := file.Validate()
	if err != nil {
		return err
	}
	if err := checkPermissions(file, operatorFile); err != nil {
		return err
	}
	if err := s.reloadBackground(operatorFile); err != nil {
		return err
	}
	s.engine.Do(func() {
		setEngineLimits(s.engine, reloadable.ConnectionLimits)
		s.frontend.SetLimits(frontendLimits(reloadable.ConnectionLimits))
		s.proxy.pool.SetLimits(reloadable.ConnectionLimits.Endpoints, reloadable.ConnectionLimits.PerEndpoint)
		s.proxy.watch.Reconfigure(reloadable.DiscoveryAddress, reloadable.WatchTimeouts.Hold, reloadable.WatchTimeouts.Slack)
	})
	if keys := s.restartKeys(file, operatorFile); len(keys) > 0 {
		s.proxy.log.WithField("keys", keys).Warn("changed keys need a restart")
	}
	s.proxy.log.WithField("discovery", reloadable.DiscoveryAddress).Info("configuration reloaded")
	return nil
}

// checkPermissions checks that the settings permit what the operator's file enables.
func checkPermissions(file *deployment.File, operatorFile *operator.File) error {
	const (
		noPeers   = "is true, but 'limits.peers' of the settings is false"
		noProbing = "is true, but 'limits.may_probe' of the settings is false"
	)
	peers, err := file.Peers()
	switch {
	case err != nil:
		return err
	case operatorFile.Membership.Enabled && !peers.PeersAllowed:
		return operatorFile.KeyError("members.on", noPeers)
	case operatorFile.ShardMap.Enabled && !peers.PeersAllowed:
		return operatorFile.KeyError("shards.on", noPeers)
	case operatorFile.HealthChecks.Enabled && !peers.ProbingAllowed:
		return operatorFile.KeyError("probing.on", noProbing)
	}
	return nil
}

func (s *Server) reloadBackground(operatorFile *operator.File) error {
	background := s.proxy.background
	if background == nil {
		return nil
	}
	var err error
	s.engine.Do(func() { err = background.Reload(operatorFile) })
	return err
}

// restartKeys returns the changed keys that take effect only after a restart.
func (s *Server) restartKeys(file *deployment.File, operatorFile *operator.File) []string {
	keys := append(file.RestartKeys(s.file), operatorFile.RestartKeys(s.operatorFile)...)
	if s.proxy.background == nil && backgroundwork.Enabled(operatorFile) {
		keys = append(keys, "background work")
	}
	return keys
}
