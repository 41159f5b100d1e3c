// Package clock defines the type of times and durations in the router's decisions: whole microseconds.
package clock

import "time"

// Micros is a time or a duration in microseconds. The caller chooses the epoch of times; times never decrease.
type Micros int64

// Units of duration.
const (
	Millisecond = 1000 * Micros(1)
	Second      = 1000 * Millisecond
	Minute      = 60 * Second
)

// FromDuration converts a time.Duration, truncated to microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Seconds returns m in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Millis returns m in milliseconds.
func (m Micros) Millis() float64 { return float64(m) / float64(Millisecond) }
