package cluster

import "threadrun/cluster/directory"

// routerKnowledge is what a router knows about objects since its last start.
type routerKnowledge struct {
	known              map[int]bool           // by object, like the other maps
	recoveredCopies    map[int]directory.Copy // not yet seen by the router itself
	purgedAt           map[int]Micros         // by the router's clock
	purgesDelivered    int                    // of Workload.purges
	starts             int
	startedAt          Micros
	requestsThisSecond int
	knownThisSecond    int
	knownShare         float64 // moving average
	relearned          bool
	timed              bool // started after the disruption
}

func newRouterKnowledge(n *Node, timed bool) *routerKnowledge {
	return &routerKnowledge{
		known:           map[int]bool{},
		recoveredCopies: map[int]directory.Copy{},
		purgedAt:        map[int]Micros{},
		starts:          n.starts,
		startedAt:       n.cluster.Now,
		timed:           timed,
	}
}

// observePurge drops a recovered copy from before a purge.
func (k *routerKnowledge) observePurge(object int, at Micros) {
	k.purgedAt[object] = at
	copied, ok := k.recoveredCopies[object]
	if ok && copied.CreatedAt <= at {
		delete(k.recoveredCopies, object)
	}
}

// addRecovered adds a recovered object, and its copy if that is newer than the last purge.
func (k *routerKnowledge) addRecovered(object int, copied directory.Copy) {
	k.known[object] = true
	if copied.Cache != 0 && copied.CreatedAt > k.purgedAt[object] {
		k.recoveredCopies[object] = copied
	}
}

// endSecond closes the counts of a second and reports whether the router has just relearned its objects: the share that
// it knows has reached recoveredShare of the baseline.
func (k *routerKnowledge) endSecond(baseline float64) bool {
	if k.requestsThisSecond > 0 {
		share := float64(k.knownThisSecond) / float64(k.requestsThisSecond)
		k.knownShare += smoothing * (share - k.knownShare)
	}
	k.requestsThisSecond = 0
	k.knownThisSecond = 0
	if !k.timed || k.relearned || k.knownShare < recoveredShare*baseline {
		return false
	}
	k.relearned = true
	return true
}
