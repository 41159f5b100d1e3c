package system

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
)

// discoveryConn is a router's connection to discovery.
type discoveryConn struct {
	discovery *discovery
	conn      *transport.Conn
	router    invariants.RouterID
	input     []byte // received and not yet parsed
	after     int    // the number of the last event that the router has
	watches   int    // received so far
	waiting   bool   // a watch is open
	closed    bool
}

// Data handles data from the router. It answers a watch at once if there are new events, or else with the next event
// or when its timeout has passed.
func (c *discoveryConn) Data(b []byte) error {
	c.input = append(c.input, b...)
	end := bytes.Index(c.input, []byte("\r\n\r\n"))
	if end < 0 {
		return nil
	}
	requestLine, _, _ := strings.Cut(string(c.input[:end]), "\r\n")
	c.input = append([]byte(nil), c.input[end+4:]...)
	timeout := c.parseWatch(requestLine)
	d := c.discovery
	d.sim.observeNotified(c.router, c.after)
	c.waiting = true
	c.watches++
	if c.after < len(d.events) {
		c.answer()
		return nil
	}
	watch := c.watches
	d.host.After(timeout, func() {
		if c.waiting && c.watches == watch {
			c.answer()
		}
	})
	return nil
}

// parseWatch sets the number of the last event that the router has, and returns the timeout of its watch.
func (c *discoveryConn) parseWatch(requestLine string) (timeout Micros) {
	_, query, _ := strings.Cut(requestLine, "?")
	query, _, _ = strings.Cut(query, " ")
	for _, pair := range strings.Split(query, "&") {
		key, value, _ := strings.Cut(pair, "=")
		switch key {
		case "after":
			c.after, _ = strconv.Atoi(value)
		case "patience":
			timeout = parseMillis(value)
		}
	}
	return timeout
}

// answer answers the open watch with all events that the router does not have.
func (c *discoveryConn) answer() {
	c.waiting = false
	body := c.discovery.eventsAfter(c.after)
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	answer := []byte(header + body)
	if c.discovery.fragments == 0 {
		c.conn.Send(answer)
		return
	}
	c.sendFragments(answer)
}

// sendFragments sends an answer in fragments of random sizes, one each fragmentInterval.
func (c *discoveryConn) sendFragments(b []byte) {
	if c.closed || len(b) == 0 {
		return
	}
	n := 1 + c.discovery.sim.world.Random.IntN(min(len(b), maxFragment))
	c.conn.Send(b[:n])
	c.discovery.host.After(fragmentInterval, func() { c.sendFragments(b[n:]) })
}

// Closed removes the connection.
func (c *discoveryConn) Closed(error) {
	c.closed = true
	c.waiting = false
	c.discovery.connections = removeItem(c.discovery.connections, c)
}
