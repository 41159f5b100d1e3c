package network

import (
	"fmt"
	"net/netip"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

const (
	maxQueuedDatagramBytes = 1 << 17                // in the receive queue of a socket
	maxReorderDelay        = 20 * clock.Millisecond // maximum extra delay on a lossy link, which reorders datagrams
)

// datagram is a datagram in the receive queue of a socket.
type datagram struct {
	payload []byte
	from    netip.AddrPort
}

// packetConn is a datagram socket. It implements transport.PacketConn.
type packetConn struct {
	host        *Host
	local       netip.AddrPort
	queue       []datagram // received, the oldest first
	queuedBytes int        // total payload of the queue
}

// ListenPacket opens a datagram socket on a port of the host. It returns an error if the port is in use. The IP address
// is ignored.
func (r *Runtime) ListenPacket(address netip.AddrPort) (transport.PacketConn, error) {
	h, port := r.host, address.Port()
	if h.packetConns[port] != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w", address, errAddressInUse)
	}
	c := &packetConn{host: h, local: netip.AddrPortFrom(h.Addr, port)}
	h.packetConns[port] = c
	return c, nil
}

// LocalAddr returns the address to which the socket is bound.
func (c *packetConn) LocalAddr() netip.AddrPort { return c.local }

// Close closes the socket.
func (c *packetConn) Close() {
	port := c.local.Port()
	if c.host.packetConns[port] == c {
		delete(c.host.packetConns, port)
	}
}

// Send sends a datagram, which may be lost, duplicated or reordered as the link's properties say. It returns true even
// if the datagram is lost.
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
		delay := w.transitTime(link, len(b))
		if link.LossShare > 0 {
			delay += Micros(w.Random.IntN(int(maxReorderDelay)))
		}
		w.after(delay, func() { c.deliver(payload, to, address.Port()) })
	}
	return true
}

// deliver adds a datagram to the receive queue of a port. It drops the datagram if the host is unreachable, no socket
// is bound to the port, or the queue is full.
func (c *packetConn) deliver(payload []byte, to *Host, port uint16) {
	w := c.host.world
	receiver := to.packetConns[port]
	if w.unreachable(c.host, to) || receiver == nil || receiver.queuedBytes+len(payload) > maxQueuedDatagramBytes {
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
