//go:build planted

package service

// plant is the planted fault that is on; 0: none.
var plant = 0

// SetFailpoint puts a planted fault on, for tests that look for it.
func SetFailpoint(no int) { plant = no }
