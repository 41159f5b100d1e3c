package directory

import (
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
)

// purgeRetention is how long a purge is remembered, because a copy from before it may be reported that late.
const purgeRetention = 5 * clock.Minute

// ObservePurge records a purge of a group, or of one object if the group is 0. It invalidates all copies created
// until then, including those that are reported later.
func (d *Directory) ObservePurge(now Micros, k shardmap.Key, g Group, at Micros) {
	d.advance(now)
	if g != 0 {
		d.groupPurges[g] = max(d.groupPurges[g], at)
	} else {
		d.objectPurges[k] = max(d.objectPurges[k], at)
	}
	purged := func(r *Record) bool {
		if g != 0 {
			return r.Group == g
		}
		return r.Key == k
	}
	for _, e := range d.entries {
		if purged(&e.Record) {
			d.invalidate(e)
		}
	}
	for _, o := range d.observations {
		if purged(&o.Record) {
			d.removePurged(&o.Record)
		}
	}
}

// EachCreatedBefore calls f for each record of a group until f returns false. The record contains only copies
// created before the given time, including those that a purge has invalidated since; records without such copies
// are skipped.
func (d *Directory) EachCreatedBefore(g Group, before Micros, f func(*Record) bool) {
	for _, e := range d.entries {
		if e.Group != g {
			continue
		}
		r := e.Record
		r.Copies = [MaxCopies]Copy{}
		d.addCreatedBefore(&r, &e.Copies, before)
		d.addCreatedBefore(&r, &e.purgedCopies, before)
		if r.Copies != ([MaxCopies]Copy{}) && !f(&r) {
			return
		}
	}
}

func (d *Directory) addCreatedBefore(r *Record, copies *[MaxCopies]Copy, before Micros) {
	for _, c := range copies {
		if c.Cache != 0 && c.CreatedAt <= before && d.now-c.LastSeen < purgeRetention {
			addCopy(r, c)
		}
	}
}

// lastPurge returns the time of the last purge of a record's object or group, or 0. Valid copies are younger.
func (d *Directory) lastPurge(r *Record) Micros {
	at := d.objectPurges[r.Key]
	if r.Group != 0 {
		at = max(at, d.groupPurges[r.Group])
	}
	return at
}

// invalidate removes invalid copies from an entry and remembers them as purged copies.
func (d *Directory) invalidate(e *entry) {
	before := e.Copies
	d.removePurged(&e.Record)
	for i, c := range before {
		if c.Cache != 0 && e.Copies[i].Cache == 0 {
			purged := Record{Copies: e.purgedCopies}
			addCopy(&purged, c)
			e.purgedCopies = purged.Copies
		}
	}
}

// removePurged removes the copies of a record that a purge has invalidated.
func (d *Directory) removePurged(r *Record) {
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
