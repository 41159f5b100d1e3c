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
	if err := file.Validate(); err != nil {
		return err
	}
	limits, err := file.ConnectionLimits()
	if err != nil {
		return err
	}
	watchTimeouts, err := file.WatchTimeouts()
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
		setEngineLimits(s.engine, limits)
		s.frontend.SetLimits(frontendLimits(limits))
		s.proxy.pool.SetLimits(limits.Endpoints, limits.PerEndpoint)
		s.proxy.watch.Reconfigure(file.DiscoveryAddress, watchTimeouts.Hold, watchTimeouts.Slack)
	})
	if keys := s.restartKeys(file, operatorFile); len(keys) > 0 {
		s.proxy.log.WithField("keys", keys).Warn("changed keys need a restart")
	}
	s.proxy.log.WithField("discovery", file.DiscoveryAddress).Info("configuration reloaded")
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
