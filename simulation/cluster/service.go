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

const (
	streamKBPerSecond = 3000.0
	objectSizeKB      = 100.0
	objectSendTime    = Micros(33_333) // at streamKBPerSecond
	clientTimeout     = 2 * clock.Second
	latencyObjective  = 300 * clock.Millisecond
	freshnessLifetime = 40 * clock.Second

	routersPerCache   = 3
	minCaches         = 4
	cachesPerParent   = 6
	minParents        = 2
	keptShare         = 0.6 // of the objects requested again that fall to a cache
	minObjects        = 8   // that a cache keeps
	linkCapacityShare = 0.6 // of the load; what the link to the parents carries

	baselineFrom = 20 * clock.Second
	// endpointDelay is the time from a restart of caches until routers are notified.
	endpointDelay = clock.Second
	// purgeGrace is how long after a router was notified of a purge an attempt may still return an older copy.
	purgeGrace = 500 * clock.Millisecond
)

// FillSource is a source of fills whose load is measured.
type FillSource int

// The places: fills at all parents together, and fetches from the origin.
const (
	Parents FillSource = iota
	Origin
	places
)

// Phase is a part of a run.
type Phase int

// The phases.
const (
	BeforeDisruption Phase = iota
	AfterDisruption
	phases
)

// Service serves the requests of a Workload: the Router of each node decides, and simulated caches answer. It measures
// what clients get.
type Service struct {
	Caches           *caches.Hierarchy
	BaselineRates    [places]float64 // a second, before the disruption
	PeakRates        [places]int     // the highest in one second after it
	StaleAnswers     int             // older than a purge that the router had known for purgeGrace before the attempt
	DuplicateAnswers int             // second answers to one request
	Served           [phases]RequestCounts
	FullService      *hdrhistogram.Histogram // ms from the restart of a cohort until its shares stay at the baseline
	NeverFullService int                     // cohorts

	workload        *Workload
	executors       map[*Node]*executor
	lastCounts      [places]int
	baselineSeconds int // that BaselineRates average
	cohorts         []*cohort
	baseline        RequestCounts
}

// AddService adds a Service to the workload. It is called after StartWorkload and before the first event.
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
		CacheObjects:      max(int(keptShare*float64(len(w.weightSums))/float64(cacheCount)), minObjects),
	})
	return w.Service
}

// totalKBPerSecond is the load of all requests together.
func (w *Workload) totalKBPerSecond() float64 {
	return float64(w.requestRate*len(w.cluster.Nodes)) * objectSizeKB
}

// started creates an empty Router for a node that has started.
func (s *Service) started(n *Node) {
	e := newExecutor(s, n)
	s.executors[n] = e
	s.updateEndpoints(e)
	if s.workload.disrupted {
		e.cohort = s.currentCohort()
		e.cohort.routers++
	}
}

// currentCohort returns the cohort that a starting router joins.
func (s *Service) currentCohort() *cohort {
	last := len(s.cohorts) - 1
	if last < 0 || s.cohorts[last].routers >= minCohort {
		s.cohorts = append(s.cohorts, &cohort{})
		last++
	}
	return s.cohorts[last]
}

// updateEndpoints passes all machines to a Router.
func (s *Service) updateEndpoints(e *executor) {
	r := e.enter()
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

// Restart restarts a share of the caches, which lose their copies. Routers are notified after endpointDelay.
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

func objectID(object int) routing.ObjectID { return routing.ObjectID(keyOf(object)) }

// router returns a node's Router with its time set, or nil if the node does not run.
func (s *Service) router(n *Node) *routing.Router {
	e := s.executors[n]
	if e == nil {
		return nil
	}
	return e.enter()
}

// arrive passes a request to a node's Router.
func (s *Service) arrive(n *Node, object int) {
	e := s.executors[n]
	r := e.enter()
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
	r := s.router(n)
	if r == nil {
		return
	}
	now := s.workload.cluster.Now
	r.Purged(objectID(object), 0, false, now-at)
	s.executors[n].purges[object] = receivedPurge{purgedAt: at, receivedAt: now}
}

// recordRecovered passes what a node has recovered about an object to its Router.
func (s *Service) recordRecovered(n *Node, object int, record directory.Record) {
	if r := s.router(n); r != nil {
		r.LearnGap(routing.ObjectKey(objectID(object), 0), record.RequestGap)
	}
}

// copiesLocated passes the caches that have a copy of an object to a node's Router.
func (s *Service) copiesLocated(n *Node, key shardmap.Key, copies []directory.Copy) {
	r := s.router(n)
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

// instanceOf identifies a machine since its last start.
func instanceOf(m *caches.Machine) directory.CacheInstance {
	return directory.CacheInstance(hash.Combine(m.Endpoint.NameHash, uint64(m.Endpoint.Started)))
}

// endSecond closes the counts of a second.
func (s *Service) endSecond() {
	s.updateRates()
	for _, g := range s.cohorts {
		g.endSecond(&s.baseline, s.workload.requestRate)
	}
}

func (s *Service) updateRates() {
	counts := [places]int{Parents: s.Caches.Fills, Origin: s.Caches.OriginFetches}
	pastStart := s.workload.cluster.Now > baselineFrom
	for place, count := range counts {
		rate := count - s.lastCounts[place]
		switch {
		case s.workload.disrupted:
			s.PeakRates[place] = max(s.PeakRates[place], rate)
		case pastStart:
			s.BaselineRates[place] += (float64(rate) - s.BaselineRates[place]) / float64(s.baselineSeconds+1)
		}
	}
	if pastStart {
		s.baselineSeconds++
	}
	s.lastCounts = counts
}

// RecordFullService records the recovery time of each cohort: a cohort has full service after its last second below the baseline.
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
