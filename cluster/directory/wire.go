package directory

import (
	"encoding/binary"
	"errors"
	"math"

	"threadrun/cluster/membership"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("directory: unreadable datagram")

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

const (
	maxRecordSize         = 8 + 5 + 1 + 4 + 5 + 4 + 4 + 1 + MaxCopies*(8+4+4) + 1 // in bytes
	maxRecordsPerDatagram = 10

	ageUnit       = 10 * clock.Millisecond                   // resolution of encoded ages and request gaps
	maxEncodedAge = uint64(24 * 60 * clock.Minute / ageUnit) // one day, in units of ageUnit

	// maxTransitTime is the assumed maximum delay of a datagram. It is added to the decoded age of copies, because
	// encoded ages do not grow in transit: a copy created just before a purge would otherwise appear to have been
	// created after it, and would remain valid.
	maxTransitTime = 2 * clock.Second
)

// messageKind is the first byte of a datagram. Encoded records follow up to the end of the datagram.
type messageKind byte

const (
	reportMessage messageKind = 1 // observations of one router
	recordMessage messageKind = 2 // records as stored by a router
)

// appendAge appends the time since an event as a varint in units of ageUnit, rounded down. Ages are sent instead of
// times because routers' clocks are not comparable.
func appendAge(b []byte, now, at Micros) []byte {
	return binary.AppendUvarint(b, uint64(max(now-at, 0)/ageUnit))
}

// AppendRecord appends an encoded record, with ages relative to now instead of times. The request gap is encoded in
// units of ageUnit plus 1, so that it is never 0. Missing copies are omitted.
func AppendRecord(b []byte, now Micros, r *Record) []byte {
	b = octets.AppendUint(b, uint64(r.Key), 8)
	b = binary.AppendUvarint(b, uint64(r.Group))
	b = append(b, r.Class, r.Reports)
	b = binary.AppendUvarint(b, uint64(r.SizeKB))
	b = binary.AppendUvarint(b, uint64(min(r.RequestGap, UnknownGap)/ageUnit)+1)
	b = octets.AppendUint(b, uint64(math.Float32bits(r.UpdatesPerSecond)), 4)
	b = appendAge(b, now, r.LastRequest)
	b = appendAge(b, now, r.UpdatedAt)
	count := len(b)
	b = append(b, 0)
	for _, c := range r.Copies {
		if c.Cache == 0 {
			continue
		}
		b[count]++
		b = octets.AppendUint(b, uint64(c.Cache), 8)
		b = appendAge(b, now, c.LastSeen)
		b = appendAge(b, now, c.CreatedAt)
	}
	return b
}

// ReadRecord decodes a record, and converts its ages to times before now. It assumes that copies are as old as they
// can be: maxTransitTime older than encoded. It sets r.Bad if the record is malformed.
func ReadRecord(r *octets.Reader, now Micros) (x Record) {
	x.Key = shardmap.Key(r.Uint(8))
	x.Group = Group(r.Uvarint(math.MaxUint64))
	x.Class = r.Byte()
	x.Reports = r.Byte()
	x.SizeKB = uint32(r.Uvarint(math.MaxUint32))
	x.RequestGap = min(Micros(r.Uvarint(uint64(UnknownGap/ageUnit)+1))*ageUnit, UnknownGap)
	x.UpdatesPerSecond = math.Float32frombits(uint32(r.Uint(4)))
	x.LastRequest = readTime(r, now)
	x.UpdatedAt = readTime(r, now)
	copies := int(r.Byte())
	for i := 0; i < copies && !r.Bad; i++ {
		if i >= MaxCopies {
			r.Bad = true
			break
		}
		x.Copies[i] = readCopy(r, now)
	}
	invalidRate := math.IsNaN(float64(x.UpdatesPerSecond)) || x.UpdatesPerSecond < 0
	if invalidRate || x.RequestGap == 0 {
		r.Bad = true
	}
	return x
}

// readTime decodes an age, and returns the time of the event.
func readTime(r *octets.Reader, now Micros) Micros {
	return now - Micros(r.Uvarint(maxEncodedAge))*ageUnit
}

// readCopy decodes a copy, and sets r.Bad if it is malformed.
func readCopy(r *octets.Reader, now Micros) (c Copy) {
	c.Cache = CacheInstance(r.Uint(8))
	c.LastSeen = readTime(r, now)
	c.CreatedAt = readTime(r, now) - maxTransitTime
	r.Bad = r.Bad || c.Cache == 0
	return c
}

// send sends the reports or records of some keys to a router in one datagram, and returns how many keys were
// processed. The remaining ones did not fit. Keys without a report or record count as processed. If the router's
// address is unknown, no key is processed.
func (d *Directory) send(to membership.NodeID, keys []shardmap.Key, kind messageKind) (processed int) {
	if to == d.self.ID {
		d.mergeOwnReports(keys, kind)
		return len(keys)
	}
	address, ok := d.address(to)
	if !ok {
		return 0
	}
	b := append(d.buf[:0], byte(kind))
	for _, k := range keys {
		r, ok := d.recordToSend(k, kind)
		if !ok {
			processed++
			continue
		}
		extended := AppendRecord(b, d.now, &r)
		if len(extended) > MaxPayload {
			break
		}
		b = extended
		processed++
	}
	if len(b) > 1 {
		d.tokens--
		d.stats.DatagramsSent++
		d.output.Send(address, b)
	}
	return processed
}

// mergeOwnReports merges this router's reports to itself. It ignores stored records, which this router already
// holds.
func (d *Directory) mergeOwnReports(keys []shardmap.Key, kind messageKind) {
	if kind != reportMessage {
		return
	}
	for _, k := range keys {
		if r, ok := d.recordToSend(k, kind); ok {
			d.Merge(d.now, r, false)
		}
	}
}

// recordToSend returns the report or the stored record to send for a key, or false if there is none. Purged copies
// are removed.
func (d *Directory) recordToSend(k shardmap.Key, kind messageKind) (Record, bool) {
	if kind == recordMessage {
		return d.Lookup(k)
	}
	o := d.observations[k]
	if o == nil {
		return Record{}, false
	}
	r := o.toReport(d.now)
	d.removePurgedCopies(&r)
	return r, true
}

// Receive handles a datagram. It merges all of its records that this router owns or replicates, or none if it
// returns ErrUnreadable.
func (d *Directory) Receive(now Micros, b []byte) error {
	d.advanceClock(now)
	in := octets.Reader{B: b}
	kind := messageKind(in.Byte())
	var records []Record
	for len(in.B) > 0 && !in.Bad {
		records = append(records, ReadRecord(&in, d.now))
	}
	known := kind == reportMessage || kind == recordMessage
	if in.Bad || !known || len(b) > MaxPayload {
		d.stats.Unreadable++
		return ErrUnreadable
	}
	for i := range records {
		if !d.ownsOrReplicates(records[i].Key) {
			d.stats.Misdirected++
			continue
		}
		d.Merge(d.now, records[i], kind == recordMessage)
	}
	return nil
}
