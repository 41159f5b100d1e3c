//go:build !planted

package service

import "threadrun/routing"

// failpoints does nothing in this build: see failpoint.go.
type failpoints struct{}

func (failpoints) shouldDropPurge(*proxy, string) bool { return false }
func (failpoints) delayDrains([]routing.Endpoint)      {}
func (failpoints) pollEnded(routing.Micros)            {}
func (failpoints) releaseDrains(*proxy)                {}

func retryAfterConnectionLoss() bool { return false }
