package cluster

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/directory"
	"threadrun/cluster/recovery"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
)

const (
	groupSize      = 8   // objects in a group
	zipfExponent   = 0.9 // the n-th most popular object is requested in proportion to n^-zipfExponent
	oneOffInterval = 20  // one request of 20 is for an object that is never requested again
	smoothing      = 0.5 // weight of the last second in moving averages
	cacheInstances = 12  // without a Service: number of caches that copies are spread over

	purgeDelay = 300 * clock.Millisecond // until a router is notified of a purge
	// staleGrace is how long after a purge a router may still use a copy that is older than the purge.
	staleGrace = 500 * clock.Millisecond
	// recoveredShare times its value before the disruption is the value at which a measured share counts as recovered.
	recoveredShare = 0.95
)

// Workload makes requests arrive at routers, and measures what routers know about the objects. The popularity of the
// objects has a Zipf distribution. With a Service the requests are served as well. Disruptions of routers don't
// affect the caches.
type Workload struct {
	Known, Unknown int                     // requests, by whether the router knew the object
	UsableCopies   int                     // requests that could use a recovered copy
	StaleCopies    int                     // included in UsableCopies: older than a purge more than staleGrace ago
	Recovered      int                     // records recovered by all routers
	Relearned      *hdrhistogram.Histogram // ms from a router's start until it knows recoveredShare of BaselineKnown
	NotRelearned   int                     // starts after the disruption that have not led to relearning
	BaselineKnown  float64                 // share of requests whose object was known, before the first disruption
	PeakPages      uint64                  // the most pages of records that one router sent in one second
	Service        *Service                // nil: requests are not served

	cluster            *Cluster
	requestRate        int           // requests a second at each router
	cumulativeWeights  []float64     // running sums of the objects' popularity, most popular first
	purgedAt           []Micros      // by object: virtual time of the last purge; 0: none
	createdAt          []Micros      // by object: virtual time at which its copy was created; unused with a Service
	purges             []issuedPurge // all so far, oldest first
	oneOffs            int           // objects so far that are requested only once; 0 without a Service
	requestsThisSecond int
	unknownThisSecond  int
	disrupted          bool
	pagesServed        map[*Node]uint64
	knowledge          map[*Node]*routerKnowledge
}

// issuedPurge is a purge of all copies of an object.
type issuedPurge struct {
	object int
	at     Micros // virtual time
}

// StartWorkload makes requestRate requests per second arrive at each router, for the given number of objects. If
// records is true, routers keep a directory and recover their state from it. It must be called before the first
// event.
func (c *Cluster) StartWorkload(objects, requestRate int, records bool) *Workload {
	w := &Workload{
		cluster:     c,
		requestRate: requestRate,
		purgedAt:    make([]Micros, objects),
		createdAt:   make([]Micros, objects),
		knowledge:   map[*Node]*routerKnowledge{},
		pagesServed: map[*Node]uint64{},
		Relearned:   newHistogram(),
	}
	sum := 0.0
	for i := range objects {
		sum += math.Pow(float64(i+1), -zipfExponent)
		w.cumulativeWeights = append(w.cumulativeWeights, sum)
	}
	c.Workload = w
	c.FullNodes = true
	c.Features.ShardMap = true
	c.Features.Directory = records
	c.Features.Recovery = records
	c.every(clock.Second, clock.Second, w.endSecond)
	return w
}

// groupOf returns the group of an object. Groups are small, so that most routers own no object of a group.
func groupOf(object int) directory.Group { return directory.Group(1 + object/groupSize) }

// keyOf returns an object's key in the directory and in shard maps.
func keyOf(object int) shardmap.Key { return shardmap.Key(hash.Combine(uint64(object), 77)) }

// NoteDisruption tells the workload that the cluster is disrupted now: from now on it measures peaks and the recovery
// of the routers that start, and the baselines no longer change.
func (w *Workload) NoteDisruption() { w.disrupted = true }

// routerStarted makes requests arrive at a router that has started. The router knows no objects.
func (w *Workload) routerStarted(n *Node) {
	k := newRouterKnowledge(n, w.disrupted)
	w.knowledge[n] = k
	if w.Service != nil {
		w.Service.routerStarted(n)
	}
	if w.disrupted {
		w.NotRelearned++
	}
	interval := clock.Second / Micros(w.requestRate)
	w.cluster.At(w.cluster.Now+Micros(w.cluster.random.IntN(int(interval))), func() { w.generateRequests(n, k, interval) })
}

// generateRequests makes a request arrive and schedules the next, until the router ends or restarts. No requests
// arrive while the router is paused.
func (w *Workload) generateRequests(n *Node, k *routerKnowledge, interval Micros) {
	if !n.Running || n.starts != k.start {
		return
	}
	if !n.Paused {
		w.arrive(n, k)
	}
	w.cluster.At(w.cluster.Now+interval, func() { w.generateRequests(n, k, interval) })
}

// arrive makes a request for a random object arrive at a router, after the purges that the router is notified of.
func (w *Workload) arrive(n *Node, k *routerKnowledge) {
	w.deliverPurges(n, k)
	n.Core.PurgesCaughtUp = w.cluster.Now-k.startedAt >= staleGrace
	k.requestsThisSecond++
	w.requestsThisSecond++
	if w.cluster.random.IntN(oneOffInterval) == 0 {
		w.arriveOneOff(n)
		return
	}
	object := w.drawObject()
	if k.known[object] {
		w.Known++
		k.knownThisSecond++
	} else {
		w.Unknown++
		w.unknownThisSecond++
		k.known[object] = true
	}
	w.useRecoveredCopy(n, k, object)
	switch {
	case w.Service != nil:
		w.Service.arrive(n, object)
	case n.Core.Directory != nil:
		w.observe(n, object)
	}
}

// arriveOneOff makes a request arrive for an object that is never requested again. These objects have the numbers
// after those of the other objects.
func (w *Workload) arriveOneOff(n *Node) {
	w.Unknown++
	w.unknownThisSecond++
	if w.Service != nil {
		w.oneOffs++
		w.Service.arrive(n, len(w.cumulativeWeights)+w.oneOffs)
	}
}

// drawObject draws an object by popularity.
func (w *Workload) drawObject() int {
	last := len(w.cumulativeWeights) - 1
	object := sort.SearchFloat64s(w.cumulativeWeights, w.cluster.random.Float64()*w.cumulativeWeights[last])
	return min(object, last)
}

// deliverPurges notifies a router of the purges issued at least purgeDelay ago.
func (w *Workload) deliverPurges(n *Node, k *routerKnowledge) {
	for k.purgesDelivered < len(w.purges) {
		p := w.purges[k.purgesDelivered]
		if w.cluster.Now-p.at < purgeDelay {
			return
		}
		k.purgesDelivered++
		k.observePurge(p.object, p.at+n.clockOffset)
		if n.Core.Directory != nil {
			n.Core.Directory.ObservePurge(n.clock(), keyOf(p.object), 0, p.at+n.clockOffset)
		}
		if w.Service != nil {
			w.Service.purged(n, p.object, p.at)
		}
	}
}

// useRecoveredCopy counts a request that could use a recovered copy of its object. The copy is used once, since the
// request fills a new one.
func (w *Workload) useRecoveredCopy(n *Node, k *routerKnowledge, object int) {
	recovered, ok := k.recoveredCopies[object]
	if !ok || !n.Core.Recovery.Permissions().UseCopies {
		return
	}
	w.UsableCopies++
	purgedAt := w.purgedAt[object]
	if purgedAt > 0 && recovered.CreatedAt <= purgedAt+n.clockOffset && w.cluster.Now-purgedAt > staleGrace {
		w.StaleCopies++
	}
	delete(k.recoveredCopies, object)
}

// observe records a request in the router's directory when there is no Service. The first request after a purge fills
// a new copy.
func (w *Workload) observe(n *Node, object int) {
	if w.createdAt[object] <= w.purgedAt[object] {
		w.createdAt[object] = w.cluster.Now
	}
	now := n.clock()
	record := directory.Record{
		Key:        keyOf(object),
		SizeKB:     uint32(object), // see recordRecovered
		Group:      groupOf(object),
		RequestGap: clock.Second,
	}
	record.Copies[0] = directory.Copy{
		Cache:     directory.CacheInstance(1 + object%cacheInstances),
		LastSeen:  now,
		CreatedAt: w.createdAt[object] + n.clockOffset,
	}
	n.Core.Directory.ObserveRequest(now, record)
}

// recordRecovered adds a record that a router has recovered to the router's knowledge. The workload stores the number
// of the object as the size in the record; records whose key disagrees with it are ignored.
func (w *Workload) recordRecovered(n *Node, r directory.Record) {
	w.Recovered++
	object := int(r.SizeKB)
	if object >= len(w.cumulativeWeights) || keyOf(object) != r.Key {
		return
	}
	w.knowledge[n].addRecovered(object, r.Copies[0])
	if w.Service != nil {
		w.Service.recordRecovered(n, object, r)
	}
}

// endSecond ends a second: it updates the averages and peaks, and purges a random object.
func (w *Workload) endSecond() {
	if !w.disrupted && w.requestsThisSecond > 0 {
		knownShare := 1 - float64(w.unknownThisSecond)/float64(w.requestsThisSecond)
		w.BaselineKnown += smoothing * (knownShare - w.BaselineKnown)
	}
	w.requestsThisSecond = 0
	w.unknownThisSecond = 0
	for _, n := range w.cluster.Nodes {
		k := w.knowledge[n]
		if k == nil || !n.Running || k.start != n.starts {
			continue
		}
		w.countPages(n)
		if k.endSecond(w.BaselineKnown) {
			w.NotRelearned--
			recordDuration(w.Relearned, w.cluster.Now-k.startedAt)
		}
	}
	w.purgeRandom()
	if w.Service != nil {
		w.Service.endSecond()
	}
}

// countPages updates PeakPages with the pages that a router sent in the last second.
func (w *Workload) countPages(n *Node) {
	if n.Core.Recovery == nil {
		return
	}
	served := n.Core.Recovery.Stats().PagesServed
	before := min(w.pagesServed[n], served) // a restarted router counts from zero
	w.PeakPages = max(w.PeakPages, served-before)
	w.pagesServed[n] = served
}

// purgeRandom purges a random object: all copies created up to now are stale.
func (w *Workload) purgeRandom() {
	object := w.cluster.random.IntN(len(w.cumulativeWeights))
	w.purgedAt[object] = w.cluster.Now
	w.purges = append(w.purges, issuedPurge{object, w.cluster.Now})
	if w.Service != nil {
		w.Service.Caches.Purge(object)
	}
}

// CountInState returns the number of running routers whose recovery is in the given state.
func (w *Workload) CountInState(state recovery.State) int {
	count := 0
	for _, n := range w.cluster.Nodes {
		if n.Running && n.Core.Recovery != nil && n.Core.Recovery.State() == state {
			count++
		}
	}
	return count
}
