// Package clock has the measure of time that all decision cores share.
package clock

import "time"

// Micros is a time or a span in whole microseconds. What it counts from is the caller's matter; it never goes back.
type Micros int64

// Spans.
const (
	Millisecond = 1000 * Micros(1)
	Second      = 1000 * Millisecond
	Minute      = 60 * Second
)

// FromDuration converts a duration, cut to whole microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Duration returns a span as the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Seconds returns a span in seconds.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Millis returns a span in milliseconds.
func (m Micros) Millis() float64 { return float64(m) / float64(Millisecond) }
