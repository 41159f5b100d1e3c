package directory

import (
	"cmp"
	"slices"

	"threadrun/cluster/shardmap"
)

const (
	handOversPerTick  = 32                        // maximum number of datagrams
	handOverLookahead = 4 * maxRecordsPerDatagram // number of queued keys searched for those of the same owner
	// handOverReserve is the number of datagrams left for reports. Hand-overs stop while fewer may be sent.
	handOverReserve = burstDatagrams / 2
)

// SetShardMap applies a new map, or nil if there is none. Records whose owner has changed are queued to be handed
// over. Records are not queued if there was no map before.
func (d *Directory) SetShardMap(now Micros, m *shardmap.Map) {
	d.advanceClock(now)
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

// compareGaps orders keys by their records' request gaps, most requested first. If either record has been dropped,
// it orders the keys by their values.
func (d *Directory) compareGaps(a, b shardmap.Key) int {
	x, y := d.entries[a], d.entries[b]
	if x == nil || y == nil {
		return cmp.Compare(a, b)
	}
	return cmp.Or(cmp.Compare(x.RequestGap, y.RequestGap), cmp.Compare(a, b))
}

// handOver sends queued records to their new owners, combining records for the same owner. It then drops those that
// this router neither owns nor replicates nor observes itself. A record that can't be sent, because the owner's
// address is unknown, is treated as if it had been sent.
func (d *Directory) handOver() {
	for n := 0; n < handOversPerTick && d.tokens >= handOverReserve && len(d.handOverQueue) > 0; n++ {
		owner := d.shardMap.RangeOf(d.handOverQueue[0]).Owner
		keys := d.handOversFor(owner)
		processed := keys[:max(d.send(d.shardMap.Owners[owner].ID, keys, recordMessage), 1)]
		d.handOverQueue = removeKeys(d.handOverQueue, processed)
		for _, k := range processed {
			if e := d.entries[k]; e != nil && !d.ownsOrReplicates(k) && d.observations[k] == nil {
				d.drop(e)
			}
		}
	}
}

// handOversFor returns the next queued keys of one owner, at most as many as may be sent together.
func (d *Directory) handOversFor(owner uint16) (keys []shardmap.Key) {
	for _, k := range d.handOverQueue[:min(len(d.handOverQueue), handOverLookahead)] {
		if d.shardMap.RangeOf(k).Owner == owner && len(keys) < maxRecordsPerDatagram {
			keys = append(keys, k)
		}
	}
	return keys
}
