// Package drift is a share of events smoothed over time, so that it means the same where events are few and many.
package drift

import "math"

// Drift is the share of events lately that counted; the zero value is a share of none.
type Drift struct {
	Share float64
	at    float64
}

// Count takes one event. What was before fades by e over the given span; times are in seconds.
func (d *Drift) Count(yes bool, now, keeps float64) {
	w := -math.Expm1((d.at - now) / keeps)
	d.Share, d.at = d.Share*(1-w), now
	if yes {
		d.Share += w
	}
}
