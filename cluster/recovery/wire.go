package recovery

import (
	"encoding/binary"
	"errors"
	"math"
	"net/netip"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// ErrUnreadable is returned for a datagram that does not follow this package's encoding.
var ErrUnreadable = errors.New("recovery: unreadable datagram")

// MaxPayload is the size of the largest datagram of this package, in bytes.
const MaxPayload = 208

// maxRecords is the maximum number of records that a datagram may mention.
const maxRecords = 1 << 20

// messageType is the first byte of a datagram. A request number follows, which the reply repeats.
type messageType byte

const (
	requestMessage messageType = iota + 1
	pageMessage
	deferralMessage
)

// request requests the records of a slice after those that were already fetched.
type request struct {
	number uint32
	from   membership.NodeID
	slice  int
	slices int // 0: the records that the provider stores for others
	skip   int
}

func (r request) append(b []byte) []byte {
	b = append(b, byte(requestMessage))
	b = binary.AppendUvarint(b, uint64(r.number))
	b = octets.AppendWord(b, uint64(r.from), 8)
	b = append(b, byte(r.slice), byte(r.slices))
	return binary.AppendUvarint(b, uint64(r.skip))
}

func readRequest(in *octets.Reader, number uint32) (request, error) {
	r := request{
		number: number,
		from:   membership.NodeID(in.Word(8)),
		slice:  int(in.Byte()),
		slices: int(in.Byte()),
		skip:   int(in.Number(maxRecords)),
	}
	if in.Bad || len(in.B) > 0 || r.slice >= max(r.slices, 1) {
		return request{}, ErrUnreadable
	}
	return r, nil
}

// deferral replies to a request with how long to wait before asking again.
type deferral struct {
	number uint32
	wait   Micros // encoded in whole milliseconds
}

func (d deferral) append(b []byte) []byte {
	b = append(b, byte(deferralMessage))
	b = binary.AppendUvarint(b, uint64(d.number))
	return binary.AppendUvarint(b, uint64(d.wait/clock.Millisecond))
}

func readDeferral(in *octets.Reader, number uint32) (deferral, error) {
	const longest = uint64(clock.Minute / clock.Millisecond)
	d := deferral{number: number, wait: Micros(in.Number(longest)) * clock.Millisecond}
	if in.Bad {
		return deferral{}, ErrUnreadable
	}
	return d, nil
}

// page replies to a request with records.
type page struct {
	number  uint32
	total   int // number of records of the provider, in all slices
	more    bool
	records []directory.Record
}

// pageWriter encodes a page record by record.
type pageWriter struct {
	b    []byte
	more int // index of the byte that says whether further records did not fit
}

func newPageWriter(b []byte, number uint32, total int) *pageWriter {
	b = append(b, byte(pageMessage))
	b = binary.AppendUvarint(b, uint64(number))
	b = binary.AppendUvarint(b, uint64(total))
	return &pageWriter{b: append(b, 0), more: len(b)}
}

// add appends a record and reports whether it fitted.
func (w *pageWriter) add(now Micros, r *directory.Record) bool {
	longer := directory.AppendRecord(w.b, now, r)
	if len(longer) > MaxPayload {
		w.b[w.more] = 1
		return false
	}
	w.b = longer
	return true
}

func readPage(in *octets.Reader, number uint32, now Micros) (page, error) {
	p := page{number: number, total: int(in.Number(maxRecords)), more: in.Byte() == 1}
	for len(in.B) > 0 && !in.Bad {
		p.records = append(p.records, directory.ReadRecord(in, now))
	}
	if in.Bad {
		return page{}, ErrUnreadable
	}
	return p, nil
}

// Receive handles a datagram. address returns the address of a router, or false if it is unknown. The error is
// ErrUnreadable.
func (m *Manager) Receive(
	now Micros, from netip.AddrPort, b []byte, address func(membership.NodeID) (netip.AddrPort, bool),
) error {
	m.now = max(m.now, now)
	err := m.dispatch(from, b, address)
	if err != nil {
		m.stats.Unreadable++
	}
	return err
}

func (m *Manager) dispatch(
	from netip.AddrPort, b []byte, address func(membership.NodeID) (netip.AddrPort, bool),
) error {
	in := &octets.Reader{B: b}
	message := messageType(in.Byte())
	number := uint32(in.Number(math.MaxUint32))
	switch message {
	case requestMessage:
		r, err := readRequest(in, number)
		if err != nil {
			return err
		}
		if known, ok := address(r.from); ok {
			from = known
		}
		m.serve(from, r)
	case deferralMessage:
		d, err := readDeferral(in, number)
		if err != nil {
			return err
		}
		m.takeDeferral(d)
	case pageMessage:
		p, err := readPage(in, number, m.now)
		if err != nil || len(b) > MaxPayload {
			return ErrUnreadable
		}
		m.takePage(p)
	default:
		return ErrUnreadable
	}
	return nil
}
