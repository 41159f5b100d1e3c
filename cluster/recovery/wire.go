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

// maxRecordCount is the highest count of records accepted in a datagram.
const maxRecordCount = 1 << 20

// messageKind is the first byte of a datagram. A request number follows as a varint, which the answer repeats.
type messageKind byte

const (
	requestMessage  messageKind = iota + 1 // see request
	pageMessage                            // see page
	deferralMessage                        // see deferral
)

// request requests the records of a slice after those that were already fetched. The slice consists of the records
// whose keys' hashes modulo sliceCount equal slice (see includes).
type request struct {
	number     uint32
	from       membership.NodeID
	slice      int // 0 if sliceCount is 0
	sliceCount int // 0: the slice consists of the records that the provider stores for others
	fetched    int // number of records of the slice that the provider skips
}

// append appends the encoded request.
func (r request) append(b []byte) []byte {
	b = append(b, byte(requestMessage))
	b = binary.AppendUvarint(b, uint64(r.number))
	b = octets.AppendUint(b, uint64(r.from), 8)
	b = append(b, byte(r.slice), byte(r.sliceCount))
	return binary.AppendUvarint(b, uint64(r.fetched))
}

// readRequest decodes a request after its number. The error is ErrUnreadable.
func readRequest(in *octets.Reader, number uint32) (request, error) {
	r := request{
		number:     number,
		from:       membership.NodeID(in.Uint(8)),
		slice:      int(in.Byte()),
		sliceCount: int(in.Byte()),
		fetched:    int(in.Uvarint(maxRecordCount)),
	}
	if in.Bad || len(in.B) > 0 || r.slice >= max(r.sliceCount, 1) {
		return request{}, ErrUnreadable
	}
	return r, nil
}

// deferral answers a request with how long to wait before asking again.
type deferral struct {
	number uint32
	wait   Micros // encoded in whole milliseconds
}

// append appends the encoded deferral.
func (d deferral) append(b []byte) []byte {
	b = append(b, byte(deferralMessage))
	b = binary.AppendUvarint(b, uint64(d.number))
	return binary.AppendUvarint(b, uint64(d.wait/clock.Millisecond))
}

// readDeferral decodes a deferral after its number. The error is ErrUnreadable.
func readDeferral(in *octets.Reader, number uint32) (deferral, error) {
	const maxWaitMS = uint64(clock.Minute / clock.Millisecond)
	d := deferral{number: number, wait: Micros(in.Uvarint(maxWaitMS)) * clock.Millisecond}
	if in.Bad {
		return deferral{}, ErrUnreadable
	}
	return d, nil
}

// page answers a request with records.
type page struct {
	number          uint32
	providerRecords int  // number of records of the provider, in all slices
	more            bool // further records of the slice did not fit
	records         []directory.Record
}

// pageWriter encodes a page record by record. A page that exceeds MaxPayload is never sent: add refuses the record.
type pageWriter struct {
	b         []byte
	moreIndex int // index in b of the byte that says whether further records did not fit
}

// newPageWriter returns a writer of a page without records, which it appends to b.
func newPageWriter(b []byte, number uint32, total int) *pageWriter {
	b = append(b, byte(pageMessage))
	b = binary.AppendUvarint(b, uint64(number))
	b = binary.AppendUvarint(b, uint64(total))
	return &pageWriter{b: append(b, 0), moreIndex: len(b)}
}

// add appends a record if it fits, and reports whether it does. If not, the page says that there are further records.
func (w *pageWriter) add(now Micros, r *directory.Record) bool {
	extended := directory.AppendRecord(w.b, now, r)
	if len(extended) > MaxPayload {
		w.b[w.moreIndex] = 1
		return false
	}
	w.b = extended
	return true
}

// readPage decodes a page after its number. The error is ErrUnreadable.
func readPage(in *octets.Reader, number uint32, now Micros) (page, error) {
	p := page{number: number, providerRecords: int(in.Uvarint(maxRecordCount)), more: in.Byte() == 1}
	for len(in.B) > 0 && !in.Bad {
		p.records = append(p.records, directory.ReadRecord(in, now))
	}
	if in.Bad {
		return page{}, ErrUnreadable
	}
	return p, nil
}

// Receive handles a datagram. address returns the address of a router, or false if it is unknown. A request is
// answered at that address or, if it is unknown, at the one that the datagram came from. The error is
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

// dispatch decodes a datagram and handles its message.
func (m *Manager) dispatch(
	from netip.AddrPort, b []byte, address func(membership.NodeID) (netip.AddrPort, bool),
) error {
	in := &octets.Reader{B: b}
	kind := messageKind(in.Byte())
	number := uint32(in.Uvarint(math.MaxUint32))
	switch kind {
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
		m.handleDeferral(d)
	case pageMessage:
		p, err := readPage(in, number, m.now)
		if err != nil || len(b) > MaxPayload {
			return ErrUnreadable
		}
		m.handlePage(p)
	default:
		return ErrUnreadable
	}
	return nil
}
