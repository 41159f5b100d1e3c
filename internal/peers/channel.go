package peers

import (
	"crypto/rand"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Handler takes received datagrams. It is called within Channel.Tick.
type Handler interface {
	HandleDatagram(kind byte, from netip.AddrPort, payload []byte) // payload is good within the call only
}

const (
	maxPerTick      = 64 // datagrams received in a tick; the rest waits in the kernel, and is lost if that is full
	dropLogInterval = 10 * time.Second
)

// Stats counts datagrams since the start.
type Stats struct {
	Sent        uint64
	Received    uint64
	Bytes       uint64 // sent
	Unsent      uint64 // the kernel did not take them
	Malformed   uint64 // dropped
	UnknownKey  uint64 // dropped: sealed with another key
	BadTag      uint64 // dropped: forged or damaged
	Replayed    uint64 // dropped: received before
	FullBatches uint64 // ticks that received as many as they may
	TooLong     uint64 // own datagrams, not sent
}

// dropped leaves out replays, which may be the network's own.
func (s *Stats) dropped() uint64 { return s.Malformed + s.UnknownKey + s.BadTag }

// Channel is a router's end of the sealed channel between routers.
type Channel struct {
	conn          transport.PacketConn
	sealer        *sealer
	handler       Handler
	log           *logrus.Logger
	stats         Stats
	lastDropLog   time.Time
	loggedDropped uint64
	in            [MaxDatagram + 1]byte
	out           [MaxDatagram]byte
}

// Listen opens a channel at an address of this machine. The caller closes it.
func Listen(address netip.AddrPort, keys *Keys, handler Handler, log *logrus.Logger) (*Channel, error) {
	conn, err := transport.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return New(conn, keys, handler, log, func(b []byte) { _, _ = rand.Read(b) }), nil
}

// New makes a channel over a connection, which it closes. The random function names this start of the router.
func New(conn transport.PacketConn, keys *Keys, handler Handler, log *logrus.Logger, random func([]byte)) *Channel {
	return &Channel{conn: conn, sealer: newSealer(keys, random), handler: handler, log: log}
}

// LocalAddr is the address where the channel listens.
func (c *Channel) LocalAddr() netip.AddrPort { return c.conn.LocalAddr() }

// SetKeys replaces the keys.
func (c *Channel) SetKeys(keys *Keys) { c.sealer.keys = keys }

// Close closes the connection.
func (c *Channel) Close() { c.conn.Close() }

// Stats gives the counters.
func (c *Channel) Stats() Stats { return c.stats }

// Send seals and sends a datagram. One that the kernel does not take at once is lost.
func (c *Channel) Send(kind byte, to netip.AddrPort, payload []byte) {
	if len(payload)+Overhead > MaxDatagram {
		c.stats.TooLong++
		return
	}
	datagram := c.sealer.seal(c.out[:0], kind, payload)
	if !c.conn.Send(datagram, to) {
		c.stats.Unsent++
		return
	}
	c.stats.Sent++
	c.stats.Bytes += uint64(len(datagram))
}

// Tick hands received datagrams to the Handler, a bounded number at a time: a flood costs no more than that.
func (c *Channel) Tick(now time.Time) {
	c.receive()
	c.logDropped(now)
}

func (c *Channel) receive() {
	for range maxPerTick {
		n, from, ok := c.conn.Receive(c.in[:])
		if !ok {
			return
		}
		c.handle(c.in[:n], from)
	}
	c.stats.FullBatches++
}

func (c *Channel) handle(datagram []byte, from netip.AddrPort) {
	kind, payload, err := c.sealer.open(datagram)
	switch {
	case err == nil:
		c.stats.Received++
		c.handler.HandleDatagram(kind, from, payload)
	case errors.Is(err, errUnknownKey):
		c.stats.UnknownKey++
	case errors.Is(err, errBadTag):
		c.stats.BadTag++
	case errors.Is(err, errReplayed):
		c.stats.Replayed++
	default:
		c.stats.Malformed++
	}
}

// logDropped logs at most every ten seconds: a flood must not fill the log.
func (c *Channel) logDropped(now time.Time) {
	dropped := c.stats.dropped()
	if dropped <= c.loggedDropped || now.Sub(c.lastDropLog) < dropLogInterval {
		return
	}
	c.log.WithFields(logrus.Fields{
		"dropped":     dropped - c.loggedDropped,
		"malformed":   c.stats.Malformed,
		"unknown_key": c.stats.UnknownKey,
		"bad_tag":     c.stats.BadTag,
		"replayed":    c.stats.Replayed,
	}).Warn("peers: datagrams dropped")
	c.lastDropLog = now
	c.loggedDropped = dropped
}
