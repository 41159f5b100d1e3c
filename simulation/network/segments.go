package network

import (
	"syscall"

	"github.com/cespare/xxhash/v2"

	"threadrun/internal/clock"
)

const (
	maxSegment       = 1 << 14                 // bytes
	maxReceiveBuffer = 1 << 16                 // bytes
	retransmitDelay  = 200 * clock.Millisecond // for packets of an existing connection
)

// fillSendBuffer moves unbuffered bytes to the send buffer, as far as there is room, and notifies the owner.
func (s *socket) fillSendBuffer() {
	n := min(len(s.unbuffered), s.room())
	if n <= 0 || s.state != stateOpen && s.state != stateClosing {
		return
	}
	s.sendBuffer = append(s.sendBuffer, s.unbuffered[:n]...)
	s.unbuffered = s.unbuffered[n:]
	s.conn.HandleWritten(n)
}

// sendSegment sends the next segment, or the FIN if all data has been delivered. Only one segment is in flight at a
// time. Its size is limited by the free space of the peer's receive buffer, and with a probability of Host.SplitShare
// only a random part of it is sent.
func (s *socket) sendSegment() {
	if s.inFlight || s.state != stateOpen && s.state != stateClosing {
		return
	}
	w, p := s.host.world, s.peer
	if len(s.sendBuffer) == 0 {
		if s.writeClosed && !s.finSent {
			s.finSent = true
			p.afterPacket(s.host, p.finArrived)
		}
		return
	}
	n := min(len(s.sendBuffer), maxReceiveBuffer-len(p.receiveBuffer), maxSegment)
	if n <= 0 { // the peer must read first
		return
	}
	if s.host.SplitShare > 0 && w.Random.Float64() < s.host.SplitShare {
		n = 1 + w.Random.IntN(n)
	}
	s.inFlight = true
	w.after(w.transitTime(w.Link(s.host, p.host), n), func() { s.segmentArrived(n) })
}

// segmentArrived delivers a segment to the peer and sends the next one. If the peer's host is unreachable, the segment
// is retransmitted. A peer that is closed answers with a reset.
func (s *socket) segmentArrived(n int) {
	w, p := s.host.world, s.peer
	switch {
	case s.state == stateClosed:
		return
	case w.unreachable(s.host, p.host):
		w.after(retransmitDelay, func() { s.segmentArrived(n) })
		return
	case p.state == stateClosed || p.state == stateClosing && p.ownerNotified:
		// The peer's host no longer keeps the connection.
		s.afterPacket(p.host, func() { s.fail(syscall.ECONNRESET) })
		return
	}
	s.inFlight = false
	if p.state == stateConnecting {
		p.establish()
	}
	w.Record('d', uint64(s.host.index), uint64(p.host.index), xxhash.Sum64(s.sendBuffer[:n]))
	p.receiveBuffer = append(p.receiveBuffer, s.sendBuffer[:n]...)
	s.sendBuffer = s.sendBuffer[n:]
	s.fillSendBuffer()
	p.scheduleRead()
	s.sendSegment()
}

// scheduleRead schedules a call of read, if there is received data and the owner has been told of the connection.
func (s *socket) scheduleRead() {
	if s.readScheduled || s.conn == nil || !s.conn.Connected() || len(s.receiveBuffer) == 0 || s.state != stateOpen {
		return
	}
	s.readScheduled = true
	s.schedule(s.read)
}

// read passes the received data to the owner, which makes room for the peer's next segment.
func (s *socket) read() {
	s.readScheduled = false
	if s.state != stateOpen || len(s.receiveBuffer) == 0 {
		return
	}
	b := s.receiveBuffer
	s.receiveBuffer = nil
	s.conn.HandleData(b)
	if s.state != stateOpen {
		return
	}
	s.peer.sendSegment()
	if s.finReceived {
		s.scheduleEOF()
	}
}
