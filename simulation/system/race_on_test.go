//go:build race

package system

// seeds are fewer, since the race detector slows a simulation down. It has one goroutine, so there is nothing to race
// with.
const (
	seeds       = 6
	raceEnabled = true
)
