package service

import (
	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/operator"
)

// Reload applies changed files: the discovery address and the watch's timeouts, the limits on connections, and what
// background work can change while it runs. Both files are checked whole before anything changes. What holds from the
// next start on only is named in the log.
func (s *Server) Reload(file *deployment.File, operatorFile *operator.File) error {
	changed, err := file.Validate()
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
		setEngineLimits(s.engine, changed.ConnectionLimits)
		s.frontend.SetLimits(frontendLimits(changed.ConnectionLimits))
		s.proxy.pool.SetLimits(changed.ConnectionLimits.Endpoints, changed.ConnectionLimits.PerEndpoint)
		s.proxy.watch.Reconfigure(changed.DiscoveryAddress, changed.WatchTimeouts.Hold, changed.WatchTimeouts.Slack)
	})
	if keys := s.restartKeys(file, operatorFile); len(keys) > 0 {
		s.proxy.log.WithField("keys", keys).Warn("changed keys need a restart")
	}
	s.proxy.log.WithField("discovery", changed.DiscoveryAddress).Info("configuration reloaded")
	return nil
}

// checkPermissions checks what the operator's file switches on against what the settings allow.
func checkPermissions(file *deployment.File, operatorFile *operator.File) error {
	const (
		noPeers   = "is true, but the site does not let routers talk to each other"
		noProbing = "is true, but the site does not let routers probe caches"
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

// restartKeys names the keys that differ from those of the start and hold from the next start on.
func (s *Server) restartKeys(file *deployment.File, operatorFile *operator.File) []string {
	keys := append(file.RestartKeys(s.file), operatorFile.RestartKeys(s.operatorFile)...)
	if s.proxy.background == nil && backgroundwork.Enabled(operatorFile) {
		keys = append(keys, "background work")
	}
	return keys
}
