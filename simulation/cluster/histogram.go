package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/internal/clock"
)

const (
	maxDurationMs      = 600_000 // the longest duration that a histogram can hold
	significantFigures = 3       // decimal digits of precision
)

// newHistogram returns a histogram of durations in milliseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDurationMs, significantFigures)
}

// recordDuration records a duration in milliseconds. Longer durations than maxDurationMs don't occur in a run; they
// would be dropped.
func recordDuration(h *hdrhistogram.Histogram, d Micros) { _ = h.RecordValue(millis(d)) }

// millis returns a duration in milliseconds, without their fraction.
func millis(d Micros) int64 { return int64(d / clock.Millisecond) }
