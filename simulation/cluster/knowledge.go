package cluster

import "threadrun/cluster/directory"

// routerKnowledge is what a router has learned about objects since its last start, and a measurement of how fast it
// learns.
type routerKnowledge struct {
	known                  map[int]bool           // by object, like the other maps
	recoveredCopies        map[int]directory.Copy // recovered and not used by a request since
	purgedAt               map[int]Micros         // the last known purge, by the router's clock
	purgesDelivered        int                    // how many of Workload.purges the router was notified of
	start                  int                    // value of Node.starts that this belongs to
	startedAt              Micros                 // virtual time
	requestsThisSecond     int
	knownThisSecond        int
	knownShare             float64 // moving average of the share of requests whose object was known
	relearned              bool
	startedAfterDisruption bool // the router's relearning is measured
}

func newRouterKnowledge(n *Node, startedAfterDisruption bool) *routerKnowledge {
	return &routerKnowledge{
		known:                  map[int]bool{},
		recoveredCopies:        map[int]directory.Copy{},
		purgedAt:               map[int]Micros{},
		start:                  n.starts,
		startedAt:              n.cluster.Now,
		startedAfterDisruption: startedAfterDisruption,
	}
}

// observePurge records a purge and drops a recovered copy that is not newer.
func (k *routerKnowledge) observePurge(object int, at Micros) {
	k.purgedAt[object] = at
	recovered, ok := k.recoveredCopies[object]
	if ok && recovered.CreatedAt <= at {
		delete(k.recoveredCopies, object)
	}
}

// addRecovered adds a recovered object, and its copy if that is newer than the last purge.
func (k *routerKnowledge) addRecovered(object int, recovered directory.Copy) {
	k.known[object] = true
	if recovered.Cache != 0 && recovered.CreatedAt > k.purgedAt[object] {
		k.recoveredCopies[object] = recovered
	}
}

// endSecond ends a second and reports whether the router has just relearned its objects: for the first time since a
// start after the disruption, the share that it knows has reached recoveredShare times the baseline.
func (k *routerKnowledge) endSecond(baseline float64) bool {
	if k.requestsThisSecond > 0 {
		share := float64(k.knownThisSecond) / float64(k.requestsThisSecond)
		k.knownShare += smoothing * (share - k.knownShare)
	}
	k.requestsThisSecond = 0
	k.knownThisSecond = 0
	if !k.startedAfterDisruption || k.relearned || k.knownShare < recoveredShare*baseline {
		return false
	}
	k.relearned = true
	return true
}
