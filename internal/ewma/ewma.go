// Package ewma provides an exponentially weighted moving average over time. The weight of a sample depends on the time
// since the previous sample, so that the average does not depend on the sampling rate.
package ewma

import "math"

// Average is a moving average. The zero value is an average of 0 without samples.
type Average struct {
	Value     float64
	lastAdded float64 // time of the last sample, in seconds
}

// Add adds the sample x at time now. The weight of older samples decreases by a factor of e per window. now and window
// are in seconds.
func (a *Average) Add(x, now, window float64) {
	a.Value += (x - a.Value) * -math.Expm1((a.lastAdded-now)/window)
	a.lastAdded = now
}

// AddBool adds a sample of 1 for true and 0 for false, so that the average is the weighted share of true samples.
func (a *Average) AddBool(value bool, now, window float64) {
	x := 0.0
	if value {
		x = 1
	}
	a.Add(x, now, window)
}
