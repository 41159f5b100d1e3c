package health

import (
	"encoding/binary"
	"errors"

	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is the error of a datagram that is not one of this package's.
var ErrUnreadable = errors.New("health: unreadable datagram")

// MaxPayload is the most bytes that a datagram of this package takes.
const MaxPayload = 208

const (
	version       = 1             // the first byte of a datagram; reports follow up to its end
	maxReportSize = 8 + 1 + 5 + 5 // bytes
	minReportSize = 8 + 1 + 1 + 1 // bytes
	maxSpan       = 1 << 32       // milliseconds
)

// nextDatagram writes the reports that are to be sent and fit, and how many they are.
func (r *Reports) nextDatagram() (b []byte, count int) {
	b = append(r.buf[:0], version)
	for i := range r.entries {
		e := &r.entries[i]
		if !r.unsent(*e) {
			continue
		}
		longer := appendReport(b, r.now, &e.Report)
		if len(longer) > MaxPayload {
			continue
		}
		b = longer
		count++
		e.sends--
	}
	return b, count
}

// appendReport writes a report, its time as an age, for clocks differ.
func appendReport(b []byte, now Micros, x *Report) []byte {
	b = octets.AppendWord(b, uint64(x.Cache), 8)
	b = append(b, octets.Truth(x.Healthy))
	b = binary.AppendUvarint(b, uint64(max(now-x.ObservedAt, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(max(x.Latency, 0)/clock.Millisecond))
}

func readReport(in *octets.Reader, now Micros) (x Report) {
	x.Cache = CacheID(in.Word(8))
	x.Healthy = in.Byte() == 1
	x.ObservedAt = now - Micros(in.Number(maxSpan))*clock.Millisecond
	x.Latency = Micros(in.Number(maxSpan)) * clock.Millisecond
	return x
}

// Receive takes a datagram of a peer: all of its reports, or none if it returns ErrUnreadable.
func (r *Reports) Receive(now Micros, b []byte) error {
	r.now = max(r.now, now)
	in := octets.Reader{B: b}
	if len(b) > MaxPayload || in.Byte() != version {
		r.stats.Unreadable++
		return ErrUnreadable
	}
	var list [MaxPayload / minReportSize]Report
	count := 0
	for ; len(in.B) > 0 && count < len(list); count++ {
		list[count] = readReport(&in, r.now)
	}
	if in.Bad {
		r.stats.Unreadable++
		return ErrUnreadable
	}
	for _, x := range list[:count] {
		r.stats.Received++
		r.update(x, false)
	}
	return nil
}
