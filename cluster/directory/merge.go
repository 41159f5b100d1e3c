package directory

import (
	"cmp"
	"math"

	"threadrun/internal/clock"
)

const (
	// rateWindow is the time constant of rates: the weight of a request decays to 1/e in this time.
	rateWindow = clock.Minute
	// adoptedWindows is the number of windows for which a rate adopted from another router counts as measured, so that
	// it covers nearly the whole window (98%).
	adoptedWindows = 4
)

// entry is a record held by this router, with the measurements behind its request gap.
type entry struct {
	Record
	purgedCopies [MaxCopies]Copy // copies made invalid by purges; caches drop them later
	fromSelfOnly bool            // stored by storeOwnReport, and no report has been merged since
	rate         float64         // exponentially decaying requests per second at all routers, as of ratedAt
	ratedAt      Micros          // when rate was last updated
	countedFrom  Micros          // when counting started
}

// moreRequested reports whether a is requested more often than b. It orders byGap.
func moreRequested(a, b *entry) bool {
	return cmp.Or(cmp.Compare(a.RequestGap, b.RequestGap), cmp.Compare(a.Key, b.Key)) < 0
}

// countRequests adds requests reported by a router to the rate. It returns the resulting request gap at a single
// router if the rate is divided equally between the given number of routers.
func (e *entry) countRequests(now Micros, requests float64, routers int) Micros {
	decay := math.Exp(-(now - e.ratedAt).Seconds() / rateWindow.Seconds())
	e.rate = e.rate*decay + requests/rateWindow.Seconds()
	e.ratedAt = now
	// A rate that has been measured for a short time covers only a part of the window, and would be too low if it were
	// not divided by coveredShare. The minimum is the time between two reports of a router.
	measuredFor := max(now-e.countedFrom, repeatInterval)
	coveredShare := 1 - math.Exp(-measuredFor.Seconds()/rateWindow.Seconds())
	return gapFromSeconds(float64(routers) * coveredShare / e.rate)
}

// adoptGap sets a request gap that another router has measured, as if it had been measured here for a long time.
// The gap must be positive.
func (e *entry) adoptGap(now, gap Micros, routers int) {
	e.RequestGap = gap
	e.rate = float64(routers) / gap.Seconds()
	e.ratedAt = now
	e.countedFrom = now - adoptedWindows*rateWindow
}

// gapFromSeconds converts a request gap in seconds, and limits it to the range from 1 microsecond to UnknownGap.
func gapFromSeconds(seconds float64) Micros {
	return Micros(min(max(seconds*float64(clock.Second), 1), float64(UnknownGap)))
}

// Merge merges a record into the record that this router holds for the object, or stores it if there is none.
// isAggregate is true for a record as another router stored it, whose request gap is that of all reports merged
// there, and false for one router's report, whose requests are added to the rate. Purged copies are not merged.
func (d *Directory) Merge(now Micros, r Record, isAggregate bool) {
	d.advanceClock(now)
	d.removePurgedCopies(&r)
	e := d.entries[r.Key]
	if e == nil {
		d.add(r, isAggregate)
		return
	}
	d.byGap.Delete(e)
	e.fromSelfOnly = e.fromSelfOnly && isAggregate
	d.mergeGap(e, &r, isAggregate)
	if r.UpdatedAt >= e.UpdatedAt {
		e.Group = r.Group
		e.Class = r.Class
		e.SizeKB = r.SizeKB
		e.UpdatesPerSecond = r.UpdatesPerSecond
	}
	e.LastRequest = max(e.LastRequest, r.LastRequest)
	e.UpdatedAt = max(e.UpdatedAt, r.UpdatedAt)
	for _, c := range r.Copies {
		if c.Cache != 0 {
			addCopy(&e.Record, c)
		}
	}
	d.invalidateCopies(e) // the group may have changed, and with it the last purge
	d.byGap.Set(e)
	d.stats.Merged++
}

// add stores the first record of an object, if there is space or a less requested record can be evicted.
func (d *Directory) add(r Record, isAggregate bool) {
	if len(d.entries) >= d.bounds.Records && !d.evict(r.RequestGap) {
		d.stats.Evicted++
		return
	}
	e := &entry{Record: r, ratedAt: d.now, countedFrom: d.now}
	e.Reports = max(e.Reports, 1)
	if isAggregate && r.RequestGap < UnknownGap {
		e.adoptGap(d.now, r.RequestGap, d.routerCount())
	}
	d.entries[r.Key] = e
	d.byGap.Set(e)
	d.stats.Merged++
}

// mergeGap merges the request gap of a record into an entry, which must not be in byGap.
func (d *Directory) mergeGap(e *entry, r *Record, isAggregate bool) {
	switch {
	case !isAggregate:
		e.RequestGap = e.countRequests(d.now, float64(max(r.Reports, 1)), d.routerCount())
		e.Reports = min(e.Reports, math.MaxUint8-1) + 1
	case r.UpdatedAt < e.UpdatedAt || r.RequestGap >= UnknownGap:
		// The entry keeps its gap: an older aggregate's is outdated, and an unknown one says nothing.
	default:
		e.adoptGap(d.now, r.RequestGap, d.routerCount())
		e.Reports = max(r.Reports, 1)
	}
}

// evict drops the least requested record if its request gap is longer than the given one, and reports whether it
// did.
func (d *Directory) evict(gap Micros) bool {
	leastRequested, ok := d.byGap.Max()
	if !ok || leastRequested.RequestGap <= gap {
		return false
	}
	d.drop(leastRequested)
	d.stats.Evicted++
	if !d.evictionLogged {
		d.evictionLogged = true
		d.output.Log("directory: full, the least requested records are dropped")
	}
	return true
}

// drop removes an entry.
func (d *Directory) drop(e *entry) {
	d.byGap.Delete(e)
	delete(d.entries, e.Key)
}
