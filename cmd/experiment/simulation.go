package main

import (
	"fmt"
	"log/slog"

	"threadrun/cluster/lease"
	"threadrun/internal/clock"
	"threadrun/internal/peers"
	"threadrun/simulation/cluster"
)

const (
	// taskInterval is how often each lease has a task.
	taskInterval = 500 * clock.Millisecond
	// fewLeases is the number of leases where an experiment is not about them.
	fewLeases = 64
)

// simulated is what the simulations of a cluster have in common.
type simulated struct {
	seed      uint32
	routers   int
	seedNodes int // 0: all routers know all
	leases    int
	loss      float64 // share of datagrams lost, in each direction
	verbose   bool
}

// newCluster makes a cluster whose datagrams have the transport's overhead. Verbose: routers' log lines are printed.
func (s simulated) newCluster() *cluster.Cluster {
	partitions := lease.Partitions{Refresh: s.leases}
	c := cluster.New(s.seed, s.routers, s.seedNodes, partitions, cluster.DefaultNetwork(s.loss), taskInterval)
	c.DatagramOverhead = peers.Overhead
	if s.verbose {
		c.Log = func(node int, message string, attrs []slog.Attr) {
			fmt.Printf("%7.2fs router %d: %s %v\n", c.Now.Seconds(), node, message, attrs)
		}
	}
	return c
}

// micros is a duration given in seconds.
func micros(seconds float64) clock.Micros { return clock.Micros(seconds * float64(clock.Second)) }

// traffic is what all routers of a cluster have sent.
type traffic struct {
	datagrams, bytes uint64
	largestDatagram  int // bytes
}

func trafficOf(c *cluster.Cluster) traffic {
	var t traffic
	for _, n := range c.Nodes {
		t.datagrams += n.DatagramsSent
		t.bytes += n.BytesSent
		t.largestDatagram = max(t.largestDatagram, n.LargestDatagram)
	}
	return t
}

// datagramsPerRouterSecond is what each of the routers has sent, rounded.
func (t traffic) datagramsPerRouterSecond(routers int, seconds float64) float64 {
	return round(float64(t.datagrams) / float64(routers) / seconds)
}
