// Package peers carries datagrams between routers: sealed with a shared key, 256 bytes at most, bounded in number. What
// can't be verified, is too long or has come before is dropped and counted, and never answered. It knows nothing of what
// they hold.
package peers

import (
	"crypto/rand"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/transport"
)

// Handler takes what has come. It is called within Beat.
type Handler interface {
	HandleDatagram(kind byte, from netip.AddrPort, held []byte) // held is good within the call only
}

const (
	perBeat   = 64 // datagrams read at a time: more of them wait, and then are lost, in the kernel
	tellEvery = 10 * time.Second
)

// Stats counts what has happened since the start.
type Stats struct {
	Sent, Received, Bytes                   uint64
	Unsent                                  uint64 // the kernel took none of them
	Malformed, UnknownKey, BadTag, Replayed uint64 // dropped, by why
	TooManySenders, FullBatches             uint64 // dropped for too many senders; reads that filled a beat
	TooLong                                 uint64 // of ours, not sent
}

// Channel is a router's end of the way between routers.
type Channel struct {
	way   transport.PacketConn
	seal  *Seal
	host  Handler
	log   *logrus.Logger
	tally Stats
	told  time.Time
	was   uint64 // dropped, when that was told last
	in    [MaxDatagram + 1]byte
	out   [MaxDatagram]byte
}

// Listen opens a line at an address of the kernel's.
func Listen(address netip.AddrPort, keys *Keys, host Handler, log *logrus.Logger) (*Channel, error) {
	way, err := transport.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return New(way, keys, host, log, func(b []byte) { _, _ = rand.Read(b) }), nil
}

// New opens a line over an address for datagrams; random names this start.
func New(way transport.PacketConn, keys *Keys, host Handler, log *logrus.Logger, random func([]byte)) *Channel {
	return &Channel{way: way, seal: newSeal(keys, random), host: host, log: log}
}

// LocalAddr is where the line listens.
func (l *Channel) LocalAddr() netip.AddrPort { return l.way.LocalAddr() }

// SetKeys takes other keys.
func (l *Channel) SetKeys(keys *Keys) { l.seal.Use(keys) }

// Close ends the line.
func (l *Channel) Close() { l.way.Close() }

// Send seals and sends a datagram. What does not go at once is lost, as datagrams may be.
func (l *Channel) Send(kind byte, to netip.AddrPort, held []byte) {
	if len(held)+Overhead > MaxDatagram {
		l.tally.TooLong++
		return
	}
	b := l.seal.Close(l.out[:0], kind, held)
	if !l.way.Send(b, to) {
		l.tally.Unsent++
		return
	}
	l.tally.Sent++
	l.tally.Bytes += uint64(len(b))
}

// Tick hands on what has come, a bounded number at a time: a flood of datagrams costs no more than that.
func (l *Channel) Tick(now time.Time) {
	for i := range perBeat {
		n, from, ok := l.way.Receive(l.in[:])
		if !ok {
			break
		}
		if i == perBeat-1 {
			l.tally.FullBatches++
		}
		l.take(l.in[:n], from)
	}
	if d := l.dropped(); d > l.was && now.Sub(l.told) >= tellEvery {
		t := &l.tally
		l.log.WithFields(logrus.Fields{"dropped": d - l.was, "shape": t.Malformed, "key": t.UnknownKey, "tag": t.BadTag, "repeat": t.Replayed,
			"crowd": t.TooManySenders}).Warn("peers: datagrams dropped")
		l.told, l.was = now, d
	}
}

func (l *Channel) dropped() uint64 {
	t := &l.tally
	return t.Malformed + t.UnknownKey + t.BadTag + t.TooManySenders // a repeat may be the network's own
}

func (l *Channel) take(b []byte, from netip.AddrPort) {
	kind, held, err := l.seal.Open(b)
	switch {
	case err == nil:
		l.tally.Received++
		l.host.HandleDatagram(kind, from, held)
	case errors.Is(err, ErrKey):
		l.tally.UnknownKey++
	case errors.Is(err, ErrTag):
		l.tally.BadTag++
	case errors.Is(err, ErrRepeat):
		l.tally.Replayed++
	case errors.Is(err, ErrCrowd):
		l.tally.TooManySenders++
	default:
		l.tally.Malformed++
	}
}

// Stats counts what has happened.
func (l *Channel) Stats() Stats { return l.tally }
