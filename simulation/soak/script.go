package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// faultKind is a kind of fault.
type faultKind int

const (
	reloadSame    faultKind = iota // SIGHUP with an unchanged deployment file
	reloadChanged                  // SIGHUP with another wait time of discovery's polls
	reloadInvalid                  // SIGHUP with a file that can't be parsed
	pause                          // SIGSTOP, and SIGCONT after half of the span
	terminate                      // SIGTERM, SIGHUP and SIGTERM at once, and a restart at the same address
	terminateAll                   // terminate, at all routers but the first at once
	crash                          // SIGKILL, and a restart at the same address
	slowCache                      // for the span, a cache delays each answer by slowDelay
	hangCaches                     // for the span, half of the caches delay each answer by hangDelay
	resetCache                     // a cache resets its connections
	drainCache                     // a cache is announced as draining for the span
	purgeObject                    // an object that clients request is purged
	silentPolls                    // discovery holds polls back for half of the span
	faultKindCount
)

// kindNames are the names of kinds in the scripts that are kept.
var kindNames = [faultKindCount]string{"reload same", "reload changed", "reload invalid", "pause", "terminate",
	"terminate all", "crash", "slow cache", "hang caches", "reset cache", "drain cache", "purge", "silent polls"}

// kindWeights are the relative frequencies with which kinds are drawn.
var kindWeights = [faultKindCount]int{1, 1, 1, 3, 5, 1, 1, 3, 3, 2, 3, 5, 1}

// step is a fault that is injected at a time.
type step struct {
	at     time.Duration // since the start of the clients
	kind   faultKind
	target int           // index of an object; that of a router or a cache is target modulo their number
	span   time.Duration // used by some kinds only
}

func (s step) String() string {
	return fmt.Sprintf("%.3fs %s %d for %.3fs", s.at.Seconds(), kindNames[s.kind], s.target, s.span.Seconds())
}

// script is a list of steps, sorted by time.
type script []step

func (s script) String() string {
	var lines []string
	for _, step := range s {
		lines = append(lines, step.String())
	}
	return strings.Join(lines, "\n")
}

const (
	quietStart       = 2 * time.Second        // time without faults at the start of a run
	quietEnd         = 3 * time.Second        // time at the end of a run in which no fault begins
	meanStepInterval = 700 * time.Millisecond // between two steps
	minSpan          = 100 * time.Millisecond
	maxSpan          = 4 * time.Second
	objectCount      = 40 // objects that clients request
)

// drawScript draws the script of a seed for a run of the given length. Its random source differs from those of the
// clients.
func drawScript(seed uint64, length time.Duration) script {
	random := rand.New(rand.NewPCG(seed, 0x736f616b))
	total := 0
	for _, weight := range kindWeights {
		total += weight
	}
	var s script
	for range int((length - quietStart - quietEnd) / meanStepInterval) {
		at := quietStart + time.Duration(random.Int64N(int64(length-quietStart-quietEnd)))
		n := random.IntN(total)
		drawn := faultKind(0)
		for n >= kindWeights[drawn] {
			n -= kindWeights[drawn]
			drawn++
		}
		span := minSpan + time.Duration(random.Int64N(int64(maxSpan-minSpan)))
		s = append(s, step{at, drawn, random.IntN(objectCount), span})
	}
	slices.SortFunc(s, func(a, b step) int { return int(a.at - b.at) })
	return s
}
