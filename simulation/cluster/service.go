package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/directory"
	"threadrun/cluster/shardmap"
	"threadrun/internal/clock"
	"threadrun/internal/hash"
	"threadrun/routing"
	"threadrun/simulation/caches"
)

// The load and the size of the simulated hierarchy of caches.
const (
	streamKBPerSecond = 3000.0 // rate at which a cache sends one answer
	objectSizeKB      = 100.0
	objectSendTime    = Micros(33_333) // at streamKBPerSecond
	clientTimeout     = 2 * clock.Second
	latencyObjective  = 300 * clock.Millisecond
	freshnessLifetime = 40 * clock.Second

	routersPerCache   = 3
	minCaches         = 4
	cachesPerParent   = 6
	minParents        = 2
	keptShare         = 0.6 // capacity of the caches together, as a share of the objects that are requested again
	minObjects        = 8   // lower bound of a cache's capacity, in objects
	linkCapacityShare = 0.6 // capacity of the link to the parents, as a share of the load of all requests

	baselineFrom = 20 * clock.Second // time from which requests and rates count for the baseline
	// endpointDelay is the time from a restart of caches until routers receive the new endpoint list.
	endpointDelay = clock.Second
	// purgeGrace is how long after a router was notified of a purge an attempt may still return an older copy.
	purgeGrace = 500 * clock.Millisecond
)

// FillSource is a source of fills whose load is measured: all parents together, or the origin.
type FillSource int

// The sources of fills.
const (
	Parents FillSource = iota
	Origin
	numFillSources
)

// Phase is a part of a run, by whether NoteDisruption has been called.
type Phase int

// The phases of a run.
const (
	BeforeDisruption Phase = iota
	AfterDisruption
	numPhases
)

// Service serves the requests of a Workload: the Router of each node decides where attempts go, and simulated caches
// answer them. It measures the answers that clients receive and the load on the sources of fills.
type Service struct {
	Caches           *caches.Hierarchy
	BaselineRates    [numFillSources]float64 // averages per second, before the disruption
	PeakRates        [numFillSources]int     // the highest rate in one second after the disruption
	StaleAnswers     int                     // older than a purge that was known purgeGrace before the attempt
	DuplicateAnswers int                     // answers to requests that already had one
	Served           [numPhases]RequestCounts
	FullService      *hdrhistogram.Histogram // ms from the restart of a cohort until its shares stay at the baseline
	NeverFullService int                     // cohorts that are below the baseline in the last second of the run

	workload        *Workload
	executors       map[*Node]*executor
	lastCounts      [numFillSources]int
	baselineSeconds int // number of seconds that BaselineRates average
	cohorts         []*cohort
	baseline        RequestCounts // requests from baselineFrom until the disruption
}

// AddService adds a Service to the workload. It must be called after StartWorkload and before the first event.
func (w *Workload) AddService(seed uint32) *Service {
	c := w.cluster
	cacheCount := max(len(c.Nodes)/routersPerCache, minCaches)
	w.Service = &Service{workload: w, executors: map[*Node]*executor{}, FullService: newHistogram()}
	w.Service.Caches = caches.New(c, seed, caches.Config{
		Caches:            cacheCount,
		Parents:           max(cacheCount/cachesPerParent, minParents),
		FreshnessLifetime: freshnessLifetime,
		Concurrency:       w.totalKBPerSecond() / streamKBPerSecond,
		SendTime:          objectSendTime,
		CacheObjects:      max(int(keptShare*float64(len(w.cumulativeWeights))/float64(cacheCount)), minObjects),
	})
	return w.Service
}

// totalKBPerSecond returns the load of the requests at all routers together.
func (w *Workload) totalKBPerSecond() float64 {
	return float64(w.requestRate*len(w.cluster.Nodes)) * objectSizeKB
}

// routerStarted creates a Router without state for a node that has started. After the disruption the node joins a
// cohort.
func (s *Service) routerStarted(n *Node) {
	e := newExecutor(s, n)
	s.executors[n] = e
	s.updateEndpoints(e)
	if s.workload.disrupted {
		e.cohort = s.currentCohort()
		e.cohort.routers++
	}
}

// currentCohort returns the cohort that a starting router joins: the last one, or a new one if that is complete.
func (s *Service) currentCohort() *cohort {
	last := len(s.cohorts) - 1
	if last < 0 || s.cohorts[last].routers >= cohortSize {
		s.cohorts = append(s.cohorts, &cohort{})
		last++
	}
	return s.cohorts[last]
}

// updateEndpoints passes the list of all machines to a Router, with their start times by the node's clock.
func (s *Service) updateEndpoints(e *executor) {
	r := e.syncRouter()
	if r == nil {
		return
	}
	var endpoints []routing.Endpoint
	for _, m := range s.Caches.Machines {
		endpoint := m.Endpoint
		if endpoint.Started > 0 {
			endpoint.Started += e.node.clockOffset
		}
		endpoints = append(endpoints, endpoint)
	}
	r.UpdateEndpoints(endpoints, true)
}

// Restart restarts a share of the caches, which lose their copies. Routers receive the new endpoint list after
// endpointDelay.
func (s *Service) Restart(share float64) {
	c := s.workload.cluster
	s.Caches.Restart(share)
	c.At(c.Now+endpointDelay, func() {
		for _, n := range c.Nodes {
			if e := s.executors[n]; e != nil {
				s.updateEndpoints(e)
			}
		}
	})
}

// objectID returns the id by which Routers know an object. It equals the object's key in the directory.
func objectID(object int) routing.ObjectID { return routing.ObjectID(keyOf(object)) }

// syncRouter returns a node's Router with its time set, or nil if the node does not run.
func (s *Service) syncRouter(n *Node) *routing.Router {
	e := s.executors[n]
	if e == nil {
		return nil
	}
	return e.syncRouter()
}

// arrive passes a request to a node's Router.
func (s *Service) arrive(n *Node, object int) {
	e := s.executors[n]
	r := e.syncRouter()
	if r == nil {
		return
	}
	e.updateFleetSize(r)
	e.arriving = &openRequest{
		object:       object,
		arrivedAt:    s.workload.cluster.Now,
		openAttempts: map[routing.AttemptNumber]bool{},
	}
	s.count(e, RequestCounts{Requests: 1})
	r.RequestArrived(routing.Request{
		Object:    objectID(object),
		Remaining: clientTimeout,
		SizeKB:    objectSizeKB,
		Tenant:    -1,
		Group:     routing.GroupID(int(groupOf(object))),
	})
}

// count adds requests to the counts of the phase, of the baseline and of the router's cohort.
func (s *Service) count(e *executor, counts RequestCounts) {
	phase := BeforeDisruption
	if s.workload.disrupted {
		phase = AfterDisruption
	}
	s.Served[phase].add(counts)
	if s.workload.cluster.Now > baselineFrom && !s.workload.disrupted {
		s.baseline.add(counts)
	}
	if e.cohort != nil {
		e.cohort.thisSecond.add(counts)
	}
}

// purged notifies a node's Router of a purge.
func (s *Service) purged(n *Node, object int, at Micros) {
	r := s.syncRouter(n)
	if r == nil {
		return
	}
	now := s.workload.cluster.Now
	r.Purged(objectID(object), 0, false, now-at)
	s.executors[n].purges[object] = receivedPurge{purgedAt: at, receivedAt: now}
}

// recordRecovered passes the time between requests for an object, from a recovered record, to a node's Router.
func (s *Service) recordRecovered(n *Node, object int, record directory.Record) {
	if r := s.syncRouter(n); r != nil {
		r.InitRequestGap(routing.ObjectKey(objectID(object), 0), record.RequestGap)
	}
}

// copiesLocated passes the located copies of an object to a node's Router. Copies at earlier instances of a cache are
// ignored.
func (s *Service) copiesLocated(n *Node, key shardmap.Key, copies []directory.Copy) {
	r := s.syncRouter(n)
	if r == nil {
		return
	}
	for _, located := range copies {
		for _, m := range s.Caches.Machines {
			if instanceOf(m) == located.Cache {
				r.CopyLocated(routing.ObjectKey(routing.ObjectID(key), 0), m.Endpoint.ID, located.CreatedAt)
			}
		}
	}
}

// instanceOf returns the id of a machine's current instance, which changes when the machine restarts.
func instanceOf(m *caches.Machine) directory.CacheInstance {
	return directory.CacheInstance(hash.Combine(m.Endpoint.NameHash, uint64(m.Endpoint.Started)))
}

// endSecond ends a second of the rates and of the cohorts' counts.
func (s *Service) endSecond() {
	s.updateRates()
	for _, g := range s.cohorts {
		g.endSecond(&s.baseline, s.workload.requestRate)
	}
}

// updateRates updates BaselineRates or PeakRates with the rates of the last second.
func (s *Service) updateRates() {
	counts := [numFillSources]int{Parents: s.Caches.Fills, Origin: s.Caches.OriginFetches}
	pastStart := s.workload.cluster.Now > baselineFrom
	for source, count := range counts {
		rate := count - s.lastCounts[source]
		switch {
		case s.workload.disrupted:
			s.PeakRates[source] = max(s.PeakRates[source], rate)
		case pastStart:
			s.BaselineRates[source] += (float64(rate) - s.BaselineRates[source]) / float64(s.baselineSeconds+1)
		}
	}
	if pastStart {
		s.baselineSeconds++
	}
	s.lastCounts = counts
}

// RecordFullService records the recovery time of each cohort and must be called once, at the end of a run. A cohort
// has full service after its last second below the baseline.
func (s *Service) RecordFullService() {
	for _, g := range s.cohorts {
		if g.lastBelow >= g.seconds {
			s.NeverFullService++
			continue
		}
		recordDuration(s.FullService, Micros(g.lastBelow+1)*clock.Second)
	}
	s.cohorts = nil
}
