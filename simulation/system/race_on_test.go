//go:build race

package system

// seeds are fewer where the race detector makes all of it slow: a deployment has one goroutine here, and nothing to race with.
const (
	seeds = 6
	raced = true
)
