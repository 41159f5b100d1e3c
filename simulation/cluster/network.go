package cluster

import (
	"net/netip"

	"threadrun/internal/clock"
)

// Network is the loss, duplication and delay of datagrams between routers. Shares are probabilities for each datagram
// in one direction.
type Network struct {
	LossShare, DuplicateShare float64
	MinDelay, MaxDelay        Micros  // bounds of the uniformly distributed delay
	ReorderedShare            float64 // datagrams that are delayed by up to ReorderDelay more
	ReorderDelay              Micros
}

// DefaultNetwork returns a network with delays of 1 to 10 ms that loses the given share of the datagrams.
func DefaultNetwork(lossShare float64) Network {
	return Network{
		LossShare:      lossShare,
		DuplicateShare: 0.01,
		MinDelay:       clock.Millisecond,
		MaxDelay:       10 * clock.Millisecond,
		ReorderedShare: 0.02,
		ReorderDelay:   60 * clock.Millisecond,
	}
}

// transmit schedules the arrival of a datagram, or of two copies of it, unless the datagram is lost, its link is down
// or no router has the address. It doesn't retain the datagram.
func (c *Cluster) transmit(from int, to netip.AddrPort, datagram []byte) {
	index := c.indexOf(to)
	if index < 0 || c.Blocked != nil && c.Blocked(from, index) {
		return
	}
	if c.random.Float64() < c.Network.LossShare {
		return
	}
	copies := 1
	if c.random.Float64() < c.Network.DuplicateShare {
		copies = 2
	}
	for range copies {
		delay := c.drawDelay()
		c.push(event{at: c.Now + delay, from: from, to: index, datagram: append(c.buffer(), datagram...)})
	}
}

// drawDelay draws the delay of a datagram.
func (c *Cluster) drawDelay() Micros {
	n := &c.Network
	delay := n.MinDelay + Micros(c.random.Float64()*float64(n.MaxDelay-n.MinDelay))
	if c.random.Float64() < n.ReorderedShare {
		delay += Micros(c.random.Float64() * float64(n.ReorderDelay))
	}
	return delay
}

// buffer returns an empty buffer, which may be that of a datagram that has arrived.
func (c *Cluster) buffer() []byte {
	last := len(c.freeBuffers) - 1
	if last < 0 {
		return nil
	}
	b := c.freeBuffers[last][:0]
	c.freeBuffers = c.freeBuffers[:last]
	return b
}
