//go:build !planted

package service

import "threadrun/routing"

// failpoints does nothing in this build: see failpoint.go.
type failpoints struct{}

func (failpoints) forgetsPurge(*proxy, string) bool { return false }
func (failpoints) delayDrains([]routing.Endpoint)   {}
func (failpoints) watchAnswered(routing.Micros)     {}
func (failpoints) releaseDrains(*proxy)             {}

func retryAfterConnectionLoss() bool { return false }
