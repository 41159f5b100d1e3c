package service

import (
	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/operator"
)

// Reload applies changed files: the discovery address, the watch's timeouts, the connection limits, and those
// settings of background work that can change while it runs. It changes nothing if either file is invalid. Changed
// keys that take effect only after a restart are logged.
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
		s.proxy.watch.Reconfigure(reloadable.DiscoveryAddress, reloadable.WatchTimeouts.Wait, reloadable.WatchTimeouts.Slack)
	})
	if keys := s.restartKeys(file, operatorFile); len(keys) > 0 {
		s.proxy.log.WithField("keys", keys).Warn("changed keys need a restart")
	}
	s.proxy.log.WithField("discovery", reloadable.DiscoveryAddress).Info("configuration reloaded")
	return nil
}

// checkPermissions returns an error that names the key if the operator's file enables a feature that the settings in
// the configuration file do not permit.
func checkPermissions(file *deployment.File, operatorFile *operator.File) error {
	const (
		peersDenied   = "is true, but 'limits.peers' of the settings is false"
		probingDenied = "is true, but 'limits.may_probe' of the settings is false"
	)
	peers, err := file.Peers()
	switch {
	case err != nil:
		return err
	case operatorFile.Membership.Enabled && !peers.PeersAllowed:
		return operatorFile.KeyError("members.on", peersDenied)
	case operatorFile.ShardMap.Enabled && !peers.PeersAllowed:
		return operatorFile.KeyError("shards.on", peersDenied)
	case operatorFile.HealthChecks.Enabled && !peers.HealthChecksAllowed:
		return operatorFile.KeyError("probing.on", probingDenied)
	}
	return nil
}

// reloadBackground applies a changed operator's file to background work, if that is running.
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
