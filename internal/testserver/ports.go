package testserver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Ports for processes are chosen below the range that the system assigns to outgoing connections (from 32768 on
// Linux). Otherwise any connection on the machine could be assigned the port before the process listens, and the
// process would fail with "address already in use".
const (
	firstPort    = 20000
	portCount    = 12000
	portAttempts = 100
)

var errNoFreePort = errors.New("testserver: no free port found")

// assignedPorts contains the ports that this process has assigned to router processes. An assigned port remains
// unbound until the router listens, and must not be assigned to another router meanwhile.
var assignedPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// reservePort marks a port as assigned, and reports whether it was not assigned before.
func reservePort(port uint16) bool {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	if assignedPorts.ports[port] {
		return false
	}
	assignedPorts.ports[port] = true
	return true
}

// FreeUDP returns a loopback address to which no UDP socket is bound.
func FreeUDP() (netip.AddrPort, error) {
	return freePort(func(address netip.AddrPort) error {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// FreeTCP returns a loopback address at which nothing listens.
func FreeTCP() (string, error) {
	address, err := freePort(func(address netip.AddrPort) error {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return err
		}
		return l.Close()
	})
	return address.String(), err
}

// freePort tries random ports until bind succeeds. The ports are random so that test processes running at the same
// time rarely choose the same port.
func freePort(bind func(netip.AddrPort) error) (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	var lastErr error
	for range portAttempts {
		port := uint16(firstPort + rand.IntN(portCount))
		if !reservePort(port) {
			continue
		}
		address := netip.AddrPortFrom(loopback, port)
		if lastErr = bind(address); lastErr == nil {
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("%w in %d attempts: %w", errNoFreePort, portAttempts, lastErr)
}
