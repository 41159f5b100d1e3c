//go:build race

package system

// There are fewer seeds, since the race detector slows simulations down. There is nothing for it to detect in them:
// each one runs in a single goroutine.
const (
	seeds       = 6
	raceEnabled = true
)
