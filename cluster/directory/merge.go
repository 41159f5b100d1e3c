package directory

import (
	"cmp"
	"math"

	"threadrun/internal/clock"
)

const (
	rateWindow = clock.Minute // older requests have little weight in a rate
	// inheritedWindows is the number of windows for which an inherited rate counts as measured.
	inheritedWindows = 4
)

// entry is a record held by this router, with the measurements behind its request gap.
type entry struct {
	Record
	purgedCopies [MaxCopies]Copy // copies made invalid by purges; caches drop them later
	ownOnly      bool            // no other router has reported it
	rate         float64         // requests per second at all routers, as of ratedAt
	ratedAt      Micros
	countedFrom  Micros
}

// moreRequested reports whether a is requested more often than b. It orders byGap.
func moreRequested(a, b *entry) bool {
	return cmp.Or(cmp.Compare(a.RequestGap, b.RequestGap), cmp.Compare(a.Key, b.Key)) < 0
}

// countRequests adds requests reported by a router, and returns the resulting request gap of one of the given number
// of routers.
func (e *entry) countRequests(now Micros, requests float64, routers int) Micros {
	decay := math.Exp(-(now - e.ratedAt).Seconds() / rateWindow.Seconds())
	e.rate = e.rate*decay + requests/rateWindow.Seconds()
	e.ratedAt = now
	// A rate that has been measured for a short time covers only this share of the window.
	counted := max(now-e.countedFrom, repeatInterval)
	covered := 1 - math.Exp(-counted.Seconds()/rateWindow.Seconds())
	return gapOf(float64(routers) * covered / e.rate)
}

// inheritGap sets a request gap that another router has measured, as if it had been measured here for a long time.
func (e *entry) inheritGap(now, gap Micros, routers int) {
	e.RequestGap = gap
	e.rate = float64(routers) / gap.Seconds()
	e.ratedAt = now
	e.countedFrom = now - inheritedWindows*rateWindow
}

func gapOf(seconds float64) Micros {
	return Micros(min(max(seconds*float64(clock.Second), 1), float64(UnknownGap)))
}

// Merge merges a record. complete is false for one router's report, and true for a record as another router stored
// it.
func (d *Directory) Merge(now Micros, r Record, complete bool) {
	d.advance(now)
	d.removePurged(&r)
	e := d.entries[r.Key]
	if e == nil {
		d.add(r, complete)
		return
	}
	d.byGap.Delete(e)
	e.ownOnly = e.ownOnly && complete
	d.mergeGap(e, &r, complete)
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
	d.invalidate(e) // its group may have changed
	d.byGap.Set(e)
	d.stats.Merged++
}

// add stores the first record of an object if there is space.
func (d *Directory) add(r Record, complete bool) {
	if len(d.entries) >= d.bounds.Records && !d.evict(r.RequestGap) {
		d.stats.Evicted++
		return
	}
	e := &entry{Record: r, ratedAt: d.now, countedFrom: d.now}
	e.Reports = max(e.Reports, 1)
	if complete && r.RequestGap < UnknownGap {
		e.inheritGap(d.now, r.RequestGap, d.routers())
	}
	d.entries[r.Key] = e
	d.byGap.Set(e)
	d.stats.Merged++
}

// mergeGap merges the request gap of a record into an entry.
func (d *Directory) mergeGap(e *entry, r *Record, complete bool) {
	switch {
	case !complete:
		e.RequestGap = e.countRequests(d.now, float64(max(r.Reports, 1)), d.routers())
		e.Reports = min(e.Reports, math.MaxUint8-1) + 1
	case r.UpdatedAt < e.UpdatedAt || r.RequestGap >= UnknownGap:
		// An older complete record contributes only its copies.
	default:
		e.inheritGap(d.now, r.RequestGap, d.routers())
		e.Reports = max(r.Reports, 1)
	}
}

// evict drops the least requested record if its request gap is longer than the given one, and reports whether it
// did.
func (d *Directory) evict(gap Micros) bool {
	last, ok := d.byGap.Max()
	if !ok || last.RequestGap <= gap {
		return false
	}
	d.drop(last)
	d.stats.Evicted++
	if !d.fullLogged {
		d.fullLogged = true
		d.output.Log("directory: full, the least requested records are dropped")
	}
	return true
}

func (d *Directory) drop(e *entry) {
	d.byGap.Delete(e)
	delete(d.entries, e.Key)
}
