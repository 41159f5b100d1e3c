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

// Host takes what has come. It is called within Beat.
type Host interface {
	Heard(kind byte, from netip.AddrPort, held []byte) // held is good within the call only
}

const (
	perBeat   = 64 // datagrams read at a time: more of them wait, and then are lost, in the kernel
	tellEvery = 10 * time.Second
)

// Tally counts what has happened since the start.
type Tally struct {
	Sent, Heard, Bytes      uint64
	Unsent                  uint64 // the kernel took none of them
	Shape, Key, Tag, Repeat uint64 // dropped, by why
	Crowd, Full             uint64 // dropped for too many senders; reads that filled a beat
	TooLong                 uint64 // of ours, not sent
}

// Line is a router's end of the way between routers.
type Line struct {
	way   transport.Datagrams
	seal  *Seal
	host  Host
	log   *logrus.Logger
	tally Tally
	told  time.Time
	was   uint64 // dropped, when that was told last
	in    [Most + 1]byte
	out   [Most]byte
}

// Open opens a line at an address of the kernel's.
func Open(address netip.AddrPort, keys *Keys, host Host, log *logrus.Logger) (*Line, error) {
	way, err := transport.KernelDatagrams(address)
	if err != nil {
		return nil, err
	}
	return Over(way, keys, host, log, func(b []byte) { _, _ = rand.Read(b) }), nil
}

// Over opens a line over an address for datagrams; random names this start.
func Over(way transport.Datagrams, keys *Keys, host Host, log *logrus.Logger, random func([]byte)) *Line {
	return &Line{way: way, seal: newSeal(keys, random), host: host, log: log}
}

// Address is where the line listens.
func (l *Line) Address() netip.AddrPort { return l.way.Address() }

// Use takes other keys.
func (l *Line) Use(keys *Keys) { l.seal.Use(keys) }

// Close ends the line.
func (l *Line) Close() { l.way.Close() }

// Send seals and sends a datagram. What does not go at once is lost, as datagrams may be.
func (l *Line) Send(kind byte, to netip.AddrPort, held []byte) {
	if len(held)+Overhead > Most {
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

// Beat hands on what has come, a bounded number at a time: a flood of datagrams costs no more than that.
func (l *Line) Beat(now time.Time) {
	for i := range perBeat {
		n, from, ok := l.way.Take(l.in[:])
		if !ok {
			break
		}
		if i == perBeat-1 {
			l.tally.Full++
		}
		l.take(l.in[:n], from)
	}
	if d := l.dropped(); d > l.was && now.Sub(l.told) >= tellEvery {
		t := &l.tally
		l.log.WithFields(logrus.Fields{"dropped": d - l.was, "shape": t.Shape, "key": t.Key, "tag": t.Tag, "repeat": t.Repeat,
			"crowd": t.Crowd}).Warn("peers: datagrams dropped")
		l.told, l.was = now, d
	}
}

func (l *Line) dropped() uint64 {
	t := &l.tally
	return t.Shape + t.Key + t.Tag + t.Crowd // a repeat may be the network's own
}

func (l *Line) take(b []byte, from netip.AddrPort) {
	kind, held, err := l.seal.Open(b)
	switch {
	case err == nil:
		l.tally.Heard++
		l.host.Heard(kind, from, held)
	case errors.Is(err, ErrKey):
		l.tally.Key++
	case errors.Is(err, ErrTag):
		l.tally.Tag++
	case errors.Is(err, ErrRepeat):
		l.tally.Repeat++
	case errors.Is(err, ErrCrowd):
		l.tally.Crowd++
	default:
		l.tally.Shape++
	}
}

// Tally counts what has happened.
func (l *Line) Tally() Tally { return l.tally }
