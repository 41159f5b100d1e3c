package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// errBoundMissed is returned by a run that completed but missed a bound.
var errBoundMissed = errors.New("a bound was missed")

// report prints a result as one line of JSON, after its summary unless jsonOnly is set. It returns errBoundMissed
// if boundMissed is set.
func report(jsonOnly bool, summary string, result any, boundMissed bool) error {
	if !jsonOnly {
		fmt.Print(summary)
	}
	line, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	fmt.Println(string(line))
	if boundMissed {
		return errBoundMissed
	}
	return nil
}

// percentiles are percentiles and the maximum of durations, in milliseconds.
type percentiles struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// percentilesOf returns the percentiles of a histogram of milliseconds.
func percentilesOf(h *hdrhistogram.Histogram) percentiles {
	return percentiles{P50: h.ValueAtPercentile(50), P99: h.ValueAtPercentile(99), Max: h.Max()}
}

// round rounds to three decimal places. x must not be negative.
func round(x float64) float64 { return float64(int64(x*1000+0.5)) / 1000 }

// ratio returns n/of, rounded, or 0 if of is 0.
func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return round(float64(n) / float64(of))
}
