package network

import (
	"net/netip"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

const (
	maxQueuedDatagramBytes = 1 << 17
	lossyReorderSpan       = 20 * clock.Millisecond // maximum extra delay of datagrams on a lossy link
)

// datagram is a received datagram.
type datagram struct {
	payload []byte
	from    netip.AddrPort
}

// packetConn is a datagram socket.
type packetConn struct {
	host        *Host
	local       netip.AddrPort
	queue       []datagram
	queuedBytes int
}

// ListenPacket opens a datagram socket on a port of the host. It fails if the address is in use.
func (r *Runtime) ListenPacket(address netip.AddrPort) (transport.PacketConn, error) {
	h, port := r.host, address.Port()
	if h.packetConns[port] != nil {
		return nil, errAddressInUse
	}
	c := &packetConn{host: h, local: netip.AddrPortFrom(h.Addr, port)}
	h.packetConns[port] = c
	return c, nil
}

// LocalAddr is the socket's own address.
func (c *packetConn) LocalAddr() netip.AddrPort { return c.local }

// Close closes the socket.
func (c *packetConn) Close() {
	port := c.local.Port()
	if c.host.packetConns[port] == c {
		delete(c.host.packetConns, port)
	}
}

// Send sends a datagram. Depending on the link it may be lost, duplicated or reordered.
func (c *packetConn) Send(b []byte, address netip.AddrPort) bool {
	w := c.host.world
	to := w.byAddress[address.Addr()]
	if to == nil {
		return true
	}
	link := w.Link(c.host, to)
	if link.LossShare > 0 && w.Random.Float64() < link.LossShare {
		return true
	}
	copies := 1
	if link.DuplicateShare > 0 && w.Random.Float64() < link.DuplicateShare {
		copies = 2
	}
	payload := append([]byte(nil), b...)
	for range copies {
		delay := w.transit(link, len(b))
		if link.LossShare > 0 {
			delay += Micros(w.Random.IntN(int(lossyReorderSpan)))
		}
		w.after(delay, func() { c.deliver(payload, to, address.Port()) })
	}
	return true
}

// deliver queues a datagram on a port of a host, if there is room.
func (c *packetConn) deliver(payload []byte, to *Host, port uint16) {
	w := c.host.world
	receiver := to.packetConns[port]
	if w.cut(c.host, to) || receiver == nil || receiver.queuedBytes+len(payload) > maxQueuedDatagramBytes {
		return
	}
	w.Record('u', uint64(c.host.index), uint64(to.index), uint64(len(payload)))
	receiver.queue = append(receiver.queue, datagram{payload, c.local})
	receiver.queuedBytes += len(payload)
}

// Receive copies the next datagram to b, truncated to its length. It returns false if there is none.
func (c *packetConn) Receive(b []byte) (int, netip.AddrPort, bool) {
	if len(c.queue) == 0 {
		return 0, netip.AddrPort{}, false
	}
	d := c.queue[0]
	c.queue = c.queue[1:]
	c.queuedBytes -= len(d.payload)
	return copy(b, d.payload), d.from, true
}
