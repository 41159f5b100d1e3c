package transport

import (
	"net"
	"net/netip"
	"syscall"
)

// packetBufferSize is the size of the kernel's receive buffer for datagrams, in bytes.
const packetBufferSize = 1 << 17

// kernelPacketConn is a UDP socket of the system.
type kernelPacketConn struct {
	conn *net.UDPConn
	raw  syscall.RawConn
	ipv4 bool // the socket's address family is IPv4; otherwise it is IPv6
}

// ListenPacket opens a UDP socket bound to an address.
func (k *kernel) ListenPacket(address netip.AddrPort) (PacketConn, error) {
	return ListenPacket(address)
}

// ListenPacket opens a UDP socket of the system bound to an address, for use without a Runtime. It returns the
// system's error if that fails.
func ListenPacket(address netip.AddrPort) (PacketConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(packetBufferSize)
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &kernelPacketConn{conn: conn, raw: raw, ipv4: address.Addr().Unmap().Is4()}, nil
}

// LocalAddr returns the address to which the socket is bound.
func (p *kernelPacketConn) LocalAddr() netip.AddrPort {
	local := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(local.Addr().Unmap(), local.Port())
}

// Close closes the socket.
func (p *kernelPacketConn) Close() { _ = p.conn.Close() }

// Send sends a datagram, and reports whether the kernel accepted it at once. Otherwise the datagram is dropped.
func (p *kernelPacketConn) Send(b []byte, to netip.AddrPort) (sent bool) {
	err := p.raw.Write(func(fd uintptr) bool {
		sent = syscall.Sendto(int(fd), b, syscall.MSG_DONTWAIT, p.sockaddr(to)) == nil
		return true
	})
	return sent && err == nil
}

// Receive copies the next received datagram to b, or returns false if the kernel has none.
func (p *kernelPacketConn) Receive(b []byte) (n int, from netip.AddrPort, ok bool) {
	var sender syscall.Sockaddr
	err := p.raw.Read(func(fd uintptr) bool {
		var err error
		n, sender, err = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
		ok = err == nil
		return true
	})
	if err != nil || !ok {
		return 0, from, false
	}
	return n, addrPort(sender), true
}

// sockaddr converts an address to the socket's address family.
func (p *kernelPacketConn) sockaddr(to netip.AddrPort) syscall.Sockaddr {
	if a := to.Addr().Unmap(); p.ipv4 && a.Is4() {
		return &syscall.SockaddrInet4{Port: int(to.Port()), Addr: a.As4()}
	}
	return &syscall.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// addrPort converts an address of the system. IPv4 addresses mapped to IPv6 are returned as IPv4.
func addrPort(a syscall.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
