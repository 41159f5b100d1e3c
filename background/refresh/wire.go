package refresh

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// A datagram consists of the version (1 byte) and encoded copies, to its end. A copy consists of the object (8
// bytes, big-endian), the class (1 byte), and as varints part, group, size in KB, remaining freshness in
// milliseconds and request gap in milliseconds. The remaining freshness is sent instead of the time at which it
// ends, because routers' clocks differ. The time in transit is not subtracted.
const (
	wireVersion = 1

	maxCopyBytes  = 8 + 1 + 2 + 5 + 2 + 5 + 5 + 5 // upper bound of the size of an encoded copy
	maxPart       = 1 << 30
	maxGroup      = 1 << 20
	maxFieldValue = 1 << 32 // of the other varints
	maxRequestGap = 3600 * clock.Second
)

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("refresh: unreadable datagram")

// Tick sends the queued reports within the rate limit, oldest first, combining those to the same lease holder. The
// caller must call it some tens of times per second.
func (m *Manager) Tick(now Micros) {
	m.now = max(m.now, now)
	if len(m.queue) == 0 || m.now-m.lastSentAt < sendInterval {
		return
	}
	m.lastSentAt = m.now
	m.limiter.Refill(m.now)
	for len(m.queue) > 0 && m.limiter.Take() {
		m.sendReport(m.queue[0].holder)
	}
}

// sendReport sends one datagram with as many queued copies for one lease holder as fit. The others stay queued in
// the same order.
func (m *Manager) sendReport(holder netip.AddrPort) {
	datagram := append(m.buffer[:0], wireVersion)
	remaining := m.queue[:0]
	for _, queued := range m.queue {
		if queued.holder != holder {
			remaining = append(remaining, queued)
			continue
		}
		extended := m.appendCopy(datagram, &queued.Copy)
		if len(extended) > MaxPayload {
			remaining = append(remaining, queued)
			continue
		}
		datagram = extended
		m.stats.Sent++
	}
	m.queue = remaining
	m.stats.DatagramsSent++
	m.executor.Send(holder, datagram)
}

// appendCopy appends an encoded copy. Size and request gap are clamped to the limits of the encoding.
func (m *Manager) appendCopy(b []byte, c *Copy) []byte {
	b = octets.AppendUint(b, c.Object, 8)
	b = append(b, byte(c.Class))
	b = binary.AppendUvarint(b, uint64(c.Part))
	b = binary.AppendUvarint(b, uint64(c.Group))
	b = binary.AppendUvarint(b, uint64(math.Min(math.Max(c.SizeKB, 0), maxFieldValue)))
	b = binary.AppendUvarint(b, uint64(max(c.FreshUntil-m.now, 0)/clock.Millisecond))
	return binary.AppendUvarint(b, uint64(min(max(c.RequestGap, 0), maxRequestGap)/clock.Millisecond))
}

// Receive handles a datagram from a peer. It uses all of its copies, or none if it returns ErrUnreadable.
func (m *Manager) Receive(now Micros, datagram []byte) error {
	m.now = max(m.now, now)
	r := octets.Reader{B: datagram}
	if len(datagram) > MaxPayload || r.Byte() != wireVersion {
		m.stats.Unreadable++
		return ErrUnreadable
	}
	validator := r
	for len(validator.B) > 0 { // decode everything once before using any copy
		m.readCopy(&validator)
	}
	if validator.Bad {
		m.stats.Unreadable++
		return ErrUnreadable
	}
	for len(r.B) > 0 {
		m.stats.Received++
		m.handleCopy(m.readCopy(&r), false)
	}
	return nil
}

// readCopy decodes a copy. It sets r.Bad if the copy is malformed.
func (m *Manager) readCopy(r *octets.Reader) Copy {
	var c Copy
	c.Object = r.Uint(8)
	c.Class = int(r.Byte())
	c.Part = int(r.Uvarint(maxPart))
	c.Group = int(r.Uvarint(maxGroup))
	c.SizeKB = float64(r.Uvarint(maxFieldValue))
	c.FreshUntil = m.now + Micros(r.Uvarint(maxFieldValue))*clock.Millisecond
	c.RequestGap = Micros(r.Uvarint(maxFieldValue)) * clock.Millisecond
	return c
}
