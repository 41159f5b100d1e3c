package directory

import (
	"math"
	"slices"

	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// repeatInterval is how often a router reports an object again that it goes on seeing: a new owner has its
// records by then.
const repeatInterval = 5 * clock.Second

// observation is what this router itself has seen of an object.
type observation struct {
	Record
	lastRequest Micros
	reportedAt  Micros // 0: not yet
	countedFrom Micros
	requests    uint32 // since countedFrom
	queued      bool
}

// report returns what this router reports of an object: its own request gap, and what it has seen of copies.
func (o *observation) report(now Micros) Record {
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

// ObserveRequest takes a request that was answered: which object, and, where a copy was seen, in which cache
// and how old.
func (d *Directory) ObserveRequest(now Micros, r Record) {
	d.advance(now)
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

// enqueue has an observation be reported. If too many wait, the oldest is left out.
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

// sendReports reports own observations to owners and first replicas, the newest first; what goes to one owner
// goes together.
func (d *Directory) sendReports() {
	for d.tokens >= 1 && len(d.reportQueue) > 0 {
		newest := d.reportQueue[len(d.reportQueue)-1]
		r := d.shardMap.RangeOf(newest)
		keys := d.reportsFor(r.Owner)
		// One that can't be sent is done with as well: it is reported again when the object is seen again.
		done := keys[:max(d.send(d.shardMap.Owners[r.Owner].ID, keys, reportMessage), 1)]
		if r.Replicas[0] != shardmap.NoOwner { // fewer may fit, where two owners' reports go to one replica
			d.send(d.shardMap.Owners[r.Replicas[0]].ID, done, reportMessage)
		}
		d.reportQueue = without(d.reportQueue, done)
		for _, k := range done {
			d.endReport(k)
		}
	}
}

// reportsFor returns the queued keys of one owner, the newest first, as many as may go together.
func (d *Directory) reportsFor(owner uint16) (keys []shardmap.Key) {
	for i := len(d.reportQueue) - 1; i >= 0 && len(keys) < maxRecordsPerDatagram; i-- {
		if d.shardMap.RangeOf(d.reportQueue[i]).Owner == owner {
			keys = append(keys, d.reportQueue[i])
		}
	}
	return keys
}

// endReport starts the next count of an object that was reported.
func (d *Directory) endReport(k shardmap.Key) {
	d.stats.Reported++
	o := d.observations[k]
	if o == nil {
		return
	}
	if !d.getsReports(k) {
		d.holdOwn(o)
	}
	o.reportedAt = d.now
	o.requests = 0
	o.queued = false
}

// holdOwn holds a record here too that others own: when most routers restart at once, its owner and replicas
// may be gone.
func (d *Directory) holdOwn(o *observation) {
	_, known := d.entries[o.Key]
	d.Merge(d.now, o.report(d.now), true)
	if e := d.entries[o.Key]; e != nil && !known {
		e.ownOnly = true
	}
}

// getsReports reports whether this router is one that a key is reported to: its owner or first replica.
func (d *Directory) getsReports(k shardmap.Key) bool {
	r := d.shardMap.RangeOf(k)
	for _, i := range [...]uint16{r.Owner, r.Replicas[0]} {
		if i != shardmap.NoOwner && d.shardMap.Owners[i].ID == d.self.ID {
			return true
		}
	}
	return false
}

// without removes keys from a list.
func without(list, remove []shardmap.Key) []shardmap.Key {
	return slices.DeleteFunc(list, func(k shardmap.Key) bool { return slices.Contains(remove, k) })
}
