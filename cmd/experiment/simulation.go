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
	// taskInterval is the interval at which the holder of a lease runs its task.
	taskInterval = 500 * clock.Millisecond
	// defaultLeases is the number of leases in experiments that are not about leases.
	defaultLeases = 64
)

// clusterConfig holds the common parameters of simulated clusters.
type clusterConfig struct {
	seed      uint32
	routers   int
	seedNodes int // routers that a starting router knows; 0: all others
	leases    int
	loss      float64 // share of datagrams lost, in each direction
	verbose   bool    // print the routers' log lines
}

// newCluster returns a simulated cluster. Its datagrams count with the overhead that the real transport adds.
func (config clusterConfig) newCluster() *cluster.Cluster {
	leaseCounts := lease.Counts{Refresh: config.leases}
	network := cluster.DefaultNetwork(config.loss)
	c := cluster.New(config.seed, config.routers, config.seedNodes, leaseCounts, network, taskInterval)
	c.DatagramOverhead = peers.Overhead
	if config.verbose {
		c.Log = func(node int, message string, attrs []slog.Attr) {
			fmt.Printf("%7.2fs router %d: %s %v\n", c.Now.Seconds(), node, message, attrs)
		}
	}
	return c
}

// micros converts seconds to microseconds.
func micros(seconds float64) clock.Micros { return clock.Micros(seconds * float64(clock.Second)) }

// traffic counts the datagrams that the routers of a cluster have sent.
type traffic struct {
	datagrams, bytes uint64
	largestDatagram  int // bytes
}

// trafficOf sums up the datagrams that all routers have sent so far.
func trafficOf(c *cluster.Cluster) traffic {
	var t traffic
	for _, n := range c.Nodes {
		t.datagrams += n.DatagramsSent
		t.bytes += n.BytesSent
		t.largestDatagram = max(t.largestDatagram, n.LargestDatagram)
	}
	return t
}

// datagramsPerRouterSecond returns the mean number of datagrams that a router sent in a second, rounded.
func (t traffic) datagramsPerRouterSecond(routers int, seconds float64) float64 {
	return round(float64(t.datagrams) / float64(routers) / seconds)
}
