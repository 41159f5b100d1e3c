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

	ageUnit = 10 * clock.Millisecond
	maxAge  = uint64(24 * 60 * clock.Minute / ageUnit) // in units of ageUnit

	// maxDelay is the assumed maximum delay of a datagram. Ages do not grow in transit: without it a copy made just
	// before a purge would appear to be made after it.
	maxDelay = 2 * clock.Second
)

// messageType is the first byte of a datagram. Records follow to the end.
type messageType byte

const (
	reportMessage messageType = 1 // observations of one router
	recordMessage messageType = 2 // records as stored by a router
)

// appendAge appends the time since an event, because times are not comparable between routers.
func appendAge(b []byte, now, at Micros) []byte {
	return binary.AppendUvarint(b, uint64(max(now-at, 0)/ageUnit))
}

// AppendRecord appends an encoded record, with ages instead of times.
func AppendRecord(b []byte, now Micros, r *Record) []byte {
	b = octets.AppendWord(b, uint64(r.Key), 8)
	b = binary.AppendUvarint(b, uint64(r.Group))
	b = append(b, r.Class, r.Reports)
	b = binary.AppendUvarint(b, uint64(r.SizeKB))
	b = binary.AppendUvarint(b, uint64(min(r.RequestGap, UnknownGap)/ageUnit)+1)
	b = octets.AppendWord(b, uint64(math.Float32bits(r.UpdatesPerSecond)), 4)
	b = appendAge(b, now, r.LastRequest)
	b = appendAge(b, now, r.UpdatedAt)
	count := len(b)
	b = append(b, 0)
	for _, c := range r.Copies {
		if c.Cache == 0 {
			continue
		}
		b[count]++
		b = octets.AppendWord(b, uint64(c.Cache), 8)
		b = appendAge(b, now, c.LastSeen)
		b = appendAge(b, now, c.CreatedAt)
	}
	return b
}

// ReadRecord decodes a record, assuming that its copies are as old as they can be. It sets r.Bad if the record is
// malformed.
func ReadRecord(r *octets.Reader, now Micros) (x Record) {
	x.Key = shardmap.Key(r.Word(8))
	x.Group = Group(r.Number(math.MaxUint64))
	x.Class = r.Byte()
	x.Reports = r.Byte()
	x.SizeKB = uint32(r.Number(math.MaxUint32))
	x.RequestGap = min(Micros(r.Number(uint64(UnknownGap/ageUnit)+1))*ageUnit, UnknownGap)
	x.UpdatesPerSecond = math.Float32frombits(uint32(r.Word(4)))
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

func readTime(r *octets.Reader, now Micros) Micros {
	return now - Micros(r.Number(maxAge))*ageUnit
}

func readCopy(r *octets.Reader, now Micros) (c Copy) {
	c.Cache = CacheInstance(r.Word(8))
	c.LastSeen = readTime(r, now)
	c.CreatedAt = readTime(r, now) - maxDelay
	r.Bad = r.Bad || c.Cache == 0
	return c
}

// send sends the records of some keys to a router, and returns how many keys were processed. The remaining records
// did not fit.
func (d *Directory) send(to membership.NodeID, keys []shardmap.Key, message messageType) (done int) {
	if to == d.self.ID {
		d.mergeOwn(keys, message)
		return len(keys)
	}
	address, ok := d.address(to)
	if !ok {
		return 0
	}
	b := append(d.buf[:0], byte(message))
	for _, k := range keys {
		r, ok := d.outgoing(k, message)
		if !ok {
			done++
			continue
		}
		longer := AppendRecord(b, d.now, &r)
		if len(longer) > MaxPayload {
			break
		}
		b = longer
		done++
	}
	if len(b) > 1 {
		d.tokens--
		d.stats.DatagramsSent++
		d.output.Send(address, b)
	}
	return done
}

// mergeOwn merges this router's reports to itself. It ignores stored records, which are already here.
func (d *Directory) mergeOwn(keys []shardmap.Key, message messageType) {
	if message != reportMessage {
		return
	}
	for _, k := range keys {
		if r, ok := d.outgoing(k, message); ok {
			d.Merge(d.now, r, false)
		}
	}
}

// outgoing returns the record to send for a key, and whether there is one.
func (d *Directory) outgoing(k shardmap.Key, message messageType) (Record, bool) {
	if message == recordMessage {
		return d.Lookup(k)
	}
	o := d.observations[k]
	if o == nil {
		return Record{}, false
	}
	r := o.report(d.now)
	d.removePurged(&r)
	return r, true
}

// Receive handles a datagram. It merges all of its records, or none if it returns ErrUnreadable.
func (d *Directory) Receive(now Micros, b []byte) error {
	d.advance(now)
	in := octets.Reader{B: b}
	message := messageType(in.Byte())
	var records []Record
	for len(in.B) > 0 && !in.Bad {
		records = append(records, ReadRecord(&in, d.now))
	}
	known := message == reportMessage || message == recordMessage
	if in.Bad || !known || len(b) > MaxPayload {
		d.stats.Unreadable++
		return ErrUnreadable
	}
	for i := range records {
		if !d.holds(records[i].Key) {
			d.stats.Misdirected++
			continue
		}
		d.Merge(d.now, records[i], message == recordMessage)
	}
	return nil
}
