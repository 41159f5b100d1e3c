// Package peers carries datagrams between routers: sealed with a shared key, 256 bytes at most, bounded in number. What
// can't be verified, is too long or has come before is dropped and counted, and never answered. It knows nothing of what
// they hold.
package peers

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Host takes what has come. It is called within Beat.
type Host interface {
	Heard(kind byte, from netip.AddrPort, held []byte) // held is good within the call only
}

const (
	perBeat   = 64      // datagrams read at a time: more of them wait, and then are lost, in the kernel
	kernelHas = 1 << 17 // bytes that wait there at most
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
	conn  *net.UDPConn
	raw   syscall.RawConn
	seal  *Seal
	host  Host
	log   *logrus.Logger
	tally Tally
	told  time.Time
	was   uint64 // dropped, when that was told last
	in    [Most + 1]byte
	out   [Most]byte
	v4    bool
}

// Open opens a line at an address.
func Open(address netip.AddrPort, keys *Keys, host Host, log *logrus.Logger) (*Line, error) {
	seal, err := NewSeal(keys)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(kernelHas)
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Line{conn: conn, raw: raw, seal: seal, host: host, log: log, v4: address.Addr().Unmap().Is4()}, nil
}

// Address is where the line listens.
func (l *Line) Address() netip.AddrPort {
	a := l.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Use takes other keys.
func (l *Line) Use(keys *Keys) { l.seal.Use(keys) }

// Close ends the line.
func (l *Line) Close() { _ = l.conn.Close() }

// Send seals and sends a datagram. What the kernel does not take at once is lost, as datagrams may be.
func (l *Line) Send(kind byte, to netip.AddrPort, held []byte) {
	if len(held)+Overhead > Most {
		l.tally.TooLong++
		return
	}
	b := l.seal.Close(l.out[:0], kind, held)
	err := l.raw.Write(func(fd uintptr) bool {
		if syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT, l.sockaddr(to)) != nil {
			l.tally.Unsent++
		} else {
			l.tally.Sent++
			l.tally.Bytes += uint64(len(b))
		}
		return true
	})
	if err != nil {
		l.tally.Unsent++
	}
}

func (l *Line) sockaddr(to netip.AddrPort) syscall.Sockaddr {
	if a := to.Addr().Unmap(); l.v4 && a.Is4() {
		return &syscall.SockaddrInet4{Port: int(to.Port()), Addr: a.As4()}
	}
	return &syscall.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// Beat hands on what has come, a bounded number at a time: a flood of datagrams costs no more than that.
func (l *Line) Beat(now time.Time) {
	for i := range perBeat {
		n, from, ok := l.read()
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

// read takes one datagram that has come, and waits for none.
func (l *Line) read() (n int, from netip.AddrPort, ok bool) {
	var sa syscall.Sockaddr
	err := l.raw.Read(func(fd uintptr) bool {
		var err error
		n, sa, err = syscall.Recvfrom(int(fd), l.in[:], syscall.MSG_DONTWAIT)
		ok = err == nil
		return true
	})
	if err != nil || !ok {
		return 0, from, false
	}
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		from = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		from = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return n, from, true
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
