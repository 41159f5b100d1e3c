package directory

import (
	"cmp"
	"slices"

	"threadrun/cluster/shardmap"
)

const (
	handOversPerTick  = 32 // maximum number of datagrams
	handOverLookahead = 4 * maxRecordsPerDatagram
	// handOverReserve is the number of datagrams left for reports.
	handOverReserve = burstDatagrams / 2
)

// SetShardMap applies a new map. Records that another router owns now are queued to be handed over.
func (d *Directory) SetShardMap(now Micros, m *shardmap.Map) {
	d.advance(now)
	old := d.shardMap
	d.shardMap = m
	if m == nil || old == nil {
		return
	}
	for k := range d.entries {
		if m.Owners[m.RangeOf(k).Owner] != old.Owners[old.RangeOf(k).Owner] {
			d.handOverQueue = append(d.handOverQueue, k)
		}
	}
	slices.SortFunc(d.handOverQueue, d.compareGaps)
	d.handOverQueue = slices.Compact(d.handOverQueue)
}

// compareGaps orders keys by their records' request gaps, most requested first.
func (d *Directory) compareGaps(a, b shardmap.Key) int {
	x, y := d.entries[a], d.entries[b]
	if x == nil || y == nil {
		return cmp.Compare(a, b)
	}
	return cmp.Or(cmp.Compare(x.RequestGap, y.RequestGap), cmp.Compare(a, b))
}

// handOver sends queued records to their new owners.
func (d *Directory) handOver() {
	for n := 0; n < handOversPerTick && d.tokens >= handOverReserve && len(d.handOverQueue) > 0; n++ {
		owner := d.shardMap.RangeOf(d.handOverQueue[0]).Owner
		keys := d.handOversFor(owner)
		done := keys[:max(d.send(d.shardMap.Owners[owner].ID, keys, recordMessage), 1)]
		d.handOverQueue = removeKeys(d.handOverQueue, done)
		for _, k := range done {
			if e := d.entries[k]; e != nil && !d.holds(k) && d.observations[k] == nil {
				d.drop(e)
			}
		}
	}
}

// handOversFor returns the next queued keys of one owner, as many as may be sent together.
func (d *Directory) handOversFor(owner uint16) (keys []shardmap.Key) {
	for _, k := range d.handOverQueue[:min(len(d.handOverQueue), handOverLookahead)] {
		if d.shardMap.RangeOf(k).Owner == owner && len(keys) < maxRecordsPerDatagram {
			keys = append(keys, k)
		}
	}
	return keys
}
