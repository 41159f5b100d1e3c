package health

import (
	"encoding/binary"
	"errors"

	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("health: unreadable datagram")

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

const (
	version       = 1             // first byte of a datagram; reports follow to the end
	maxReportSize = 8 + 1 + 5 + 5 // in bytes
	minReportSize = 8 + 1 + 1 + 1 // in bytes
	maxMillis     = 1 << 32       // in milliseconds
)

// nextDatagram encodes the unsent reports that fit, and returns their number.
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

// appendReport encodes a report with its age instead of its time, because routers' clocks differ.
func appendReport(b []byte, now Micros, x *Report) []byte {
	b = octets.AppendWord(b, uint64(x.Cache), 8)
	b = append(b, octets.FromBool(x.Healthy))
	b = binary.AppendUvarint(b, uint64(max(now-x.ObservedAt, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(max(x.Latency, 0)/clock.Millisecond))
}

func readReport(in *octets.Reader, now Micros) (x Report) {
	x.Cache = CacheID(in.Word(8))
	x.Healthy = in.Byte() == 1
	x.ObservedAt = now - Micros(in.Number(maxMillis))*clock.Millisecond
	x.Latency = Micros(in.Number(maxMillis)) * clock.Millisecond
	return x
}

// Receive handles a datagram from a peer. It stores all of its reports, or none if it returns ErrUnreadable.
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
