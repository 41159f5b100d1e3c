// Package ewma is a mean smoothed over time, so that it means the same where samples are few and many.
package ewma

import "math"

// Average is a mean of late; the zero value is a mean of nothing.
type Average struct {
	Value float64
	at    float64
}

// Add takes one sample. What was before fades by e over the given span; times are in seconds.
func (d *Average) Add(x, now, keeps float64) {
	d.Value += (x - d.Value) * -math.Expm1((d.at-now)/keeps)
	d.at = now
}

// AddBool takes an event that counts or not: the mean is the share of those that do.
func (d *Average) AddBool(yes bool, now, keeps float64) {
	x := 0.0
	if yes {
		x = 1
	}
	d.Add(x, now, keeps)
}
