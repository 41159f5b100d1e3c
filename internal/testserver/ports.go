package testserver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Ports for a process that is to be started are chosen below the range that the system gives to
// outgoing connections (from 32768 on Linux): between the choice and the process's listening, any connection on the
// machine could be given a port of that range, and the process would fail with "address already in use".
const (
	firstPort    = 20000
	ports        = 12000
	portAttempts = 100
)

var errNoFreePort = errors.New("testserver: no free port found")

// givenPorts are those that this process has given out: a port is free until the process it is meant for listens, and
// is not to be given to another one meanwhile.
var givenPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// reservePort reports whether a port had not been given out, and counts it as given.
func reservePort(port uint16) bool {
	givenPorts.Lock()
	defer givenPorts.Unlock()
	if givenPorts.ports[port] {
		return false
	}
	givenPorts.ports[port] = true
	return true
}

// FreeUDP finds a loopback address that no UDP socket is bound to.
func FreeUDP() (netip.AddrPort, error) {
	return freePort(func(address netip.AddrPort) error {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// FreeTCP finds a loopback address that nobody listens at.
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

// freePort draws ports until one can be bound. Processes that draw at the same time seldom draw the same ones.
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
