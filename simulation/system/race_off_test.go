//go:build !race

package system

const (
	seeds       = 100
	raceEnabled = false
)
