// Package ewma provides an exponentially weighted moving average over time. The weight of a sample depends on the
// time since the previous one, so that the average does not depend on the sampling rate.
package ewma

import "math"

// Average is a moving average. The zero value is an average of 0 without samples.
type Average struct {
	Value float64
	at    float64
}

// Add adds the sample x at time now. The weight of older samples decreases by a factor of e per window. Times are
// in seconds.
func (d *Average) Add(x, now, keeps float64) {
	d.Value += (x - d.Value) * -math.Expm1((d.at-now)/keeps)
	d.at = now
}

// AddBool adds a sample of 1 for true and 0 for false, so that the average is the share of true samples.
func (d *Average) AddBool(yes bool, now, keeps float64) {
	x := 0.0
	if yes {
		x = 1
	}
	d.Add(x, now, keeps)
}
