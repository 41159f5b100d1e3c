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
	ports        = 12000
	portAttempts = 100
)

var errNoFreePort = errors.New("testserver: no free port found")

// givenPorts contains the ports that this process has assigned. A port remains free until the process for which it
// is meant listens, and must not be assigned twice meanwhile.
var givenPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// reservePort marks a port as assigned, and reports whether it was not assigned before.
func reservePort(port uint16) bool {
	givenPorts.Lock()
	defer givenPorts.Unlock()
	if givenPorts.ports[port] {
		return false
	}
	givenPorts.ports[port] = true
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

// freePort tries random ports until one can be bound. Processes that do so at the same time rarely pick the same
// ones.
func freePort(bind func(netip.AddrPort) error) (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	var last error
	for range portAttempts {
		port := uint16(firstPort + rand.IntN(ports))
		if !reservePort(port) {
			continue
		}
		address := netip.AddrPortFrom(loopback, port)
		if last = bind(address); last == nil {
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("%w: %w", errNoFreePort, last)
}
