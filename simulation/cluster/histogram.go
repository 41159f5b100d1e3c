package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/internal/clock"
)

const (
	maxDurationMs      = 600_000 // longest that a histogram holds
	significantFigures = 3
)

// newHistogram returns a histogram of durations in milliseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDurationMs, significantFigures)
}

// recordDuration records a duration. Durations beyond maxDurationMs don't occur in a run and are dropped.
func recordDuration(h *hdrhistogram.Histogram, d Micros) { _ = h.RecordValue(millis(d)) }

// millis is a duration in milliseconds.
func millis(d Micros) int64 { return int64(d / clock.Millisecond) }
