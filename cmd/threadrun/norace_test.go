//go:build !race

package main

// raceEnabled is whether the race detector is enabled.
const raceEnabled = false
