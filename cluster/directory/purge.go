package directory

import (
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// purgeRetention is how long a purge is remembered, because a copy from before it may be reported that late. Copies
// invalidated by purges are kept for the same time after they were last seen.
const purgeRetention = 5 * clock.Minute

// ObservePurge records a purge made at purgedAt: of a group, or of one object if the group is 0. It invalidates all
// copies created until then, including those that are reported later.
func (d *Directory) ObservePurge(now Micros, k shardmap.Key, g Group, purgedAt Micros) {
	d.advanceClock(now)
	if g != 0 {
		d.groupPurges[g] = max(d.groupPurges[g], purgedAt)
	} else {
		d.objectPurges[k] = max(d.objectPurges[k], purgedAt)
	}
	isPurged := func(r *Record) bool {
		if g != 0 {
			return r.Group == g
		}
		return r.Key == k
	}
	for _, e := range d.entries {
		if isPurged(&e.Record) {
			d.invalidateCopies(e)
		}
	}
	for _, o := range d.observations {
		if isPurged(&o.Record) {
			d.removePurgedCopies(&o.Record)
		}
	}
}

// EachCreatedBefore calls f for each record of a group until f returns false. The record contains only copies
// created at the given time or before, including those that a purge has invalidated since, because their caches may
// not have dropped them yet; records without such copies are skipped. The record is valid only during the call.
func (d *Directory) EachCreatedBefore(g Group, before Micros, f func(*Record) bool) {
	for _, e := range d.entries {
		if e.Group != g {
			continue
		}
		r := e.Record
		r.Copies = [MaxCopies]Copy{}
		d.addCopiesCreatedBefore(&r, &e.Copies, before)
		d.addCopiesCreatedBefore(&r, &e.purgedCopies, before)
		if r.Copies != ([MaxCopies]Copy{}) && !f(&r) {
			return
		}
	}
}

// addCopiesCreatedBefore adds those copies to a record that were created at the given time or before, and were seen
// recently enough.
func (d *Directory) addCopiesCreatedBefore(r *Record, copies *[MaxCopies]Copy, before Micros) {
	for _, c := range copies {
		if c.Cache != 0 && c.CreatedAt <= before && d.now-c.LastSeen < purgeRetention {
			addCopy(r, c)
		}
	}
}

// lastPurge returns the time of the last purge of a record's object or group, or 0 if none is remembered. Copies
// that were created later are valid.
func (d *Directory) lastPurge(r *Record) Micros {
	at := d.objectPurges[r.Key]
	if r.Group != 0 {
		at = max(at, d.groupPurges[r.Group])
	}
	return at
}

// invalidateCopies removes invalid copies from an entry and remembers them as purged copies.
func (d *Directory) invalidateCopies(e *entry) {
	before := e.Copies
	d.removePurgedCopies(&e.Record)
	for i, c := range before {
		if c.Cache != 0 && e.Copies[i].Cache == 0 {
			purged := Record{Copies: e.purgedCopies}
			addCopy(&purged, c)
			e.purgedCopies = purged.Copies
		}
	}
}

// removePurgedCopies removes the copies of a record that a purge has invalidated, leaving unused elements in
// Copies.
func (d *Directory) removePurgedCopies(r *Record) {
	at := d.lastPurge(r)
	if at <= 0 {
		return
	}
	for i := range r.Copies {
		c := &r.Copies[i]
		if c.Cache != 0 && c.CreatedAt <= at {
			*c = Copy{}
			d.stats.CopiesPurged++
		}
	}
}
