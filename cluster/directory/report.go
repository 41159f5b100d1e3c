package directory

import (
	"math"
	"slices"

	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// repeatInterval is the time after which a router repeats the report of an object when it observes another request.
// It limits how long a new owner lacks the records of objects that are requested often.
const repeatInterval = 5 * clock.Second

// observation is what this router itself has observed about an object.
type observation struct {
	Record             // as observed; LastRequest, UpdatedAt and Reports are set by toReport
	lastRequest Micros // when the last request was observed
	reportedAt  Micros // 0: not reported yet
	countedFrom Micros // start of the current count: the last report or, before the first one, the first request
	requests    uint32 // number of requests since the last report
	queued      bool   // the key is in reportQueue
}

// toReport returns this router's report of an object, with its own request gap and the copies that it has seen.
// With fewer than two requests since the last report, the gap is the one passed with the first observed request, or
// UnknownGap if that was 0.
func (o *observation) toReport(now Micros) Record {
	r := o.Record
	r.LastRequest = o.lastRequest
	r.UpdatedAt = now
	r.Reports = uint8(min(max(o.requests, 1), math.MaxUint8))
	if r.RequestGap == 0 {
		r.RequestGap = UnknownGap
	}
	if n := Micros(o.requests); n > 1 {
		r.RequestGap = max((o.lastRequest-o.countedFrom)/(n-1), 1)
	}
	return r
}

// ObserveRequest records an answered request. r contains what the answer says about the object and, if a cache
// holds a copy, that copy in Copies[0]. If too many objects are observed already, a request for another one is
// ignored.
func (d *Directory) ObserveRequest(now Micros, r Record) {
	d.advanceClock(now)
	o := d.observations[r.Key]
	if o == nil {
		if len(d.observations) >= 2*d.bounds.PendingReports {
			d.stats.ReportsDropped++
			return
		}
		o = &observation{Record: r, countedFrom: now}
		d.observations[r.Key] = o
	}
	o.requests++
	if o.requests == 1 && o.reportedAt > 0 {
		o.countedFrom = o.reportedAt
	}
	o.Group = r.Group
	o.Class = r.Class
	o.SizeKB = r.SizeKB
	o.UpdatesPerSecond = r.UpdatesPerSecond
	o.lastRequest = d.now
	if r.Copies[0].Cache != 0 {
		addCopy(&o.Record, r.Copies[0])
	}
	if !o.queued && (o.reportedAt == 0 || d.now-o.reportedAt >= repeatInterval) {
		o.queued = true
		d.enqueue(r.Key)
	}
}

// enqueue queues an observation to be reported. If the queue is full, it drops the oldest one, which is queued
// again when its object is requested.
func (d *Directory) enqueue(k shardmap.Key) {
	if len(d.reportQueue) >= d.bounds.PendingReports {
		if oldest := d.observations[d.reportQueue[0]]; oldest != nil {
			oldest.queued = false
		}
		d.reportQueue = d.reportQueue[1:]
		d.stats.ReportsDropped++
	}
	d.reportQueue = append(d.reportQueue, k)
}

// sendReports sends reports to owners and first replicas, newest first, combining reports to the same owner.
func (d *Directory) sendReports() {
	for d.tokens >= 1 && len(d.reportQueue) > 0 {
		newest := d.reportQueue[len(d.reportQueue)-1]
		r := d.shardMap.RangeOf(newest)
		keys := d.reportsFor(r.Owner)
		// A report that can't be sent counts as processed, too; it is repeated when the object is requested again.
		processed := keys[:max(d.send(d.shardMap.Owners[r.Owner].ID, keys, reportMessage), 1)]
		if r.Replicas[0] != shardmap.NoOwner {
			// Fewer reports may fit if the owner is this router, whose own reports are not limited by a datagram's size.
			d.send(d.shardMap.Owners[r.Replicas[0]].ID, processed, reportMessage)
		}
		d.reportQueue = removeKeys(d.reportQueue, processed)
		for _, k := range processed {
			d.endReport(k)
		}
	}
}

// reportsFor returns the queued keys of one owner, newest first, at most as many as may be sent together.
func (d *Directory) reportsFor(owner uint16) (keys []shardmap.Key) {
	for i := len(d.reportQueue) - 1; i >= 0 && len(keys) < maxRecordsPerDatagram; i-- {
		if d.shardMap.RangeOf(d.reportQueue[i]).Owner == owner {
			keys = append(keys, d.reportQueue[i])
		}
	}
	return keys
}

// endReport starts the next count of requests for an object that was reported. It stores the report locally if
// reports of the object are sent only to other routers.
func (d *Directory) endReport(k shardmap.Key) {
	d.stats.Reported++
	o := d.observations[k]
	if o == nil {
		return
	}
	if !d.receivesReports(k) {
		d.storeOwnReport(o)
	}
	o.reportedAt = d.now
	o.requests = 0
	o.queued = false
}

// storeOwnReport stores this router's report of an object that others own locally, too: if most routers restart at
// once, the object's owner and replicas may have lost its record. It is merged like an aggregate, because its
// request gap is that of a single router already.
func (d *Directory) storeOwnReport(o *observation) {
	_, alreadyStored := d.entries[o.Key]
	d.Merge(d.now, o.toReport(d.now), true)
	if e := d.entries[o.Key]; e != nil && !alreadyStored {
		e.fromSelfOnly = true
	}
}

// receivesReports reports whether reports of a key are sent to this router: it is the owner or first replica.
func (d *Directory) receivesReports(k shardmap.Key) bool {
	r := d.shardMap.RangeOf(k)
	for _, i := range [...]uint16{r.Owner, r.Replicas[0]} {
		if i != shardmap.NoOwner && d.shardMap.Owners[i].ID == d.self.ID {
			return true
		}
	}
	return false
}

// removeKeys removes the given keys from list in place, and returns the shortened list.
func removeKeys(list, remove []shardmap.Key) []shardmap.Key {
	return slices.DeleteFunc(list, func(k shardmap.Key) bool { return slices.Contains(remove, k) })
}
