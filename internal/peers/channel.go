package peers

import (
	"crypto/rand"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Handler handles received datagrams. The Channel calls it only within Tick.
type Handler interface {
	// HandleDatagram handles an authentic datagram that was not received before. payload is valid only during the
	// call.
	HandleDatagram(kind byte, from netip.AddrPort, payload []byte)
}

const (
	maxPerTick      = 64               // datagrams received per tick; the others wait in the kernel's buffer
	dropLogInterval = 10 * time.Second // minimum time between two log lines about dropped datagrams
)

// Stats contains counters since the start. Unless a comment names another unit, they count datagrams.
type Stats struct {
	Sent        uint64
	Received    uint64
	Bytes       uint64 // bytes sent
	Unsent      uint64 // lost because the kernel did not accept them
	Malformed   uint64 // dropped: impossible size, or another version of the protocol
	UnknownKey  uint64 // dropped: sealed with an unknown key
	BadTag      uint64 // dropped: forged or corrupted
	Replayed    uint64 // dropped: received before, too old to tell, or this router's own
	FullBatches uint64 // ticks that received maxPerTick datagrams
	TooLong     uint64 // not sent because they exceed MaxDatagram
}

// dropped returns the number of dropped datagrams. It does not count replays, which the network may cause by
// duplicating datagrams.
func (s *Stats) dropped() uint64 { return s.Malformed + s.UnknownKey + s.BadTag }

// Channel is a router's end of the sealed channel between routers. It is not safe for concurrent use.
type Channel struct {
	conn             transport.PacketConn
	sealer           *sealer
	handler          Handler
	log              *logrus.Logger
	stats            Stats
	lastDropLog      time.Time // time of the last log line about dropped datagrams
	droppedAtLastLog uint64    // stats.dropped() at that time
	// receiveBuffer has one byte more than MaxDatagram, so that a longer datagram is truncated to an invalid size.
	receiveBuffer [MaxDatagram + 1]byte
	sendBuffer    [MaxDatagram]byte
}

// Listen opens a channel on a UDP socket of the system at a local address. The caller must close it.
func Listen(address netip.AddrPort, keys *Keys, handler Handler, log *logrus.Logger) (*Channel, error) {
	conn, err := transport.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return New(conn, keys, handler, log, func(b []byte) { _, _ = rand.Read(b) }), nil
}

// New returns a Channel on conn. The Channel owns conn and closes it. random fills a slice with the random ID of this
// start of the router, by which receivers distinguish replayed datagrams from those of a restarted router.
func New(conn transport.PacketConn, keys *Keys, handler Handler, log *logrus.Logger, random func([]byte)) *Channel {
	return &Channel{conn: conn, sealer: newSealer(keys, random), handler: handler, log: log}
}

// LocalAddr returns the address where the channel listens.
func (c *Channel) LocalAddr() netip.AddrPort { return c.conn.LocalAddr() }

// SetKeys replaces the keys by which datagrams are sealed and opened.
func (c *Channel) SetKeys(keys *Keys) { c.sealer.keys = keys }

// Close closes the connection.
func (c *Channel) Close() { c.conn.Close() }

// Stats returns the counters.
func (c *Channel) Stats() Stats { return c.stats }

// Send seals and sends a datagram. It is lost if the kernel does not accept it at once, or if the payload is longer
// than MaxDatagram-Overhead. Stats counts both.
func (c *Channel) Send(kind byte, to netip.AddrPort, payload []byte) {
	if len(payload)+Overhead > MaxDatagram {
		c.stats.TooLong++
		return
	}
	datagram := c.sealer.seal(c.sendBuffer[:0], kind, payload)
	if !c.conn.Send(datagram, to) {
		c.stats.Unsent++
		return
	}
	c.stats.Sent++
	c.stats.Bytes += uint64(len(datagram))
}

// Tick receives datagrams and passes valid ones to the Handler. It receives at most maxPerTick, which limits the cost
// of a flood. now is the time of a monotonic clock.
func (c *Channel) Tick(now time.Time) {
	c.receive()
	c.logDropped(now)
}

// receive receives and handles the pending datagrams, up to maxPerTick.
func (c *Channel) receive() {
	for range maxPerTick {
		n, from, ok := c.conn.Receive(c.receiveBuffer[:])
		if !ok {
			return
		}
		c.handle(c.receiveBuffer[:n], from)
	}
	c.stats.FullBatches++
}

// handle opens a datagram and passes its payload to the Handler, or counts why it was dropped.
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

// logDropped logs dropped datagrams at most once per dropLogInterval, so that a flood does not fill the log.
func (c *Channel) logDropped(now time.Time) {
	dropped := c.stats.dropped()
	if dropped <= c.droppedAtLastLog || now.Sub(c.lastDropLog) < dropLogInterval {
		return
	}
	c.log.WithFields(logrus.Fields{
		"dropped":     dropped - c.droppedAtLastLog,
		"malformed":   c.stats.Malformed,
		"unknown_key": c.stats.UnknownKey,
		"bad_tag":     c.stats.BadTag,
		"replayed":    c.stats.Replayed,
	}).Warn("peers: datagrams dropped")
	c.lastDropLog = now
	c.droppedAtLastLog = dropped
}
