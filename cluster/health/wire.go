package health

import (
	"encoding/binary"
	"errors"

	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("health: unreadable datagram")

// MaxPayload is the maximum size of a datagram of this package, in bytes.
const MaxPayload = 208

const (
	version = 1 // first byte of a datagram; encoded reports follow to the end

	// Sizes of an encoded report in bytes: cache, health, and the ages and latencies as varints of milliseconds.
	maxReportSize = 8 + 1 + 5 + 5
	minReportSize = 8 + 1 + 1 + 1

	maxMillis = 1 << 32 // maximum age or latency in a received report, in milliseconds
)

// nextDatagram encodes the reports that need sending and fit into one datagram, and returns their number. It
// counts each of them as sent to one peer. b is valid until the next call.
func (r *Reports) nextDatagram() (b []byte, count int) {
	b = append(r.buf[:0], version)
	for i := range r.entries {
		e := &r.entries[i]
		if !r.needsSending(*e) {
			continue
		}
		extended := appendReport(b, r.now, &e.Report)
		if len(extended) > MaxPayload {
			continue
		}
		b = extended
		count++
		e.sendsLeft--
	}
	return b, count
}

// appendReport encodes a report with its age instead of its time, because routers' clocks differ. Age and latency
// are rounded down to milliseconds.
func appendReport(b []byte, now Micros, x *Report) []byte {
	b = octets.AppendUint(b, uint64(x.Cache), 8)
	b = append(b, octets.FromBool(x.Healthy))
	b = binary.AppendUvarint(b, uint64(max(now-x.ObservedAt, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(max(x.Latency, 0)/clock.Millisecond))
}

// readReport decodes a report. It converts the age to a time on this router's clock.
func readReport(in *octets.Reader, now Micros) (x Report) {
	x.Cache = CacheID(in.Uint(8))
	x.Healthy = in.Byte() == 1
	x.ObservedAt = now - Micros(in.Uvarint(maxMillis))*clock.Millisecond
	x.Latency = Micros(in.Uvarint(maxMillis)) * clock.Millisecond
	return x
}

// Receive handles a datagram from a peer. If it returns ErrUnreadable, it has counted the datagram and stored none
// of its reports.
func (r *Reports) Receive(now Micros, b []byte) error {
	r.now = max(r.now, now)
	in := octets.Reader{B: b}
	if len(b) > MaxPayload || in.Byte() != version {
		r.stats.Unreadable++
		return ErrUnreadable
	}
	var reports [MaxPayload / minReportSize]Report
	count := 0
	for ; len(in.B) > 0 && count < len(reports); count++ {
		reports[count] = readReport(&in, r.now)
	}
	if in.Bad {
		r.stats.Unreadable++
		return ErrUnreadable
	}
	for _, x := range reports[:count] {
		r.stats.Received++
		r.storeNewer(x, false)
	}
	return nil
}
