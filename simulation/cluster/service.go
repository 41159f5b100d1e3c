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
	keptShare         = 0.6 // of the objects that fall to a cache, one-off ones left out
	minObjects        = 8   // that a cache keeps
	linkCapacityShare = 0.6 // of the load, that the link to the parents carries

	baselineFrom = 20 * clock.Second
	// endpointDelay is how long after a cache has restarted routers learn of it.
	endpointDelay = clock.Second
	// purgeGrace is how long after a router learned of a purge an attempt may still give a copy from before it.
	purgeGrace = 500 * clock.Millisecond
)

// Place is a source of fills whose load is watched.
type Place int

// The places: fills at all parents together, and fetches from the origin.
const (
	Parents Place = iota
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

// Service has each router's requests decided by its Router and sent to simulated caches: what the cluster knows is
// then measured by what clients get.
type Service struct {
	Caches           *caches.Hierarchy
	BaselineRates    [places]float64 // a second, before the disruption
	PeakRates        [places]int     // the highest in one second after it
	StaleAnswers     int             // from before a purge that the router had known for purgeGrace before the attempt
	DuplicateAnswers int             // second answers to one request
	Served           [phases]RequestCounts
	FullService      *hdrhistogram.Histogram // ms from the restart of a cohort until its shares stay at the baseline
	NeverFullService int                     // cohorts

	workload        *Workload
	executors       map[*Node]*executor
	lastCounts      [places]int
	baselineSeconds int // that BaselineRates rest on
	cohorts         []*cohort
	baseline        RequestCounts
}

// Serve has requests decided and served. It is called after StartWorkload and before the first event.
func (w *Workload) Serve(seed uint32) *Service {
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

// totalKBPerSecond is what all requests ask for.
func (w *Workload) totalKBPerSecond() float64 {
	return float64(w.requestRate*len(w.cluster.Nodes)) * objectSizeKB
}

// started gives a router that has started a Router that knows nothing.
func (s *Service) started(n *Node) {
	e := newExecutor(s, n)
	s.executors[n] = e
	s.updateEndpoints(e)
	if s.workload.disrupted {
		e.cohort = s.currentCohort()
		e.cohort.routers++
	}
}

// currentCohort is the one that a starting router joins.
func (s *Service) currentCohort() *cohort {
	last := len(s.cohorts) - 1
	if last < 0 || s.cohorts[last].routers >= minCohort {
		s.cohorts = append(s.cohorts, &cohort{})
		last++
	}
	return s.cohorts[last]
}

// updateEndpoints tells a router of all machines.
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

// Restart has a share of the caches restart with no copies; routers learn of it after endpointDelay.
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

// router gives a router's Router with its time set, or nil if it does not run.
func (s *Service) router(n *Node) *routing.Router {
	e := s.executors[n]
	if e == nil {
		return nil
	}
	return e.enter()
}

// arrive hands a request to a router's Router.
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

// purged tells a router of a purge that was made some time ago.
func (s *Service) purged(n *Node, object int, at Micros) {
	r := s.router(n)
	if r == nil {
		return
	}
	now := s.workload.cluster.Now
	r.Purged(objectID(object), 0, false, now-at)
	s.executors[n].purges[object] = receivedPurge{purgedAt: at, receivedAt: now}
}

// recordRecovered tells a router what it has recovered of an object.
func (s *Service) recordRecovered(n *Node, object int, record directory.Record) {
	if r := s.router(n); r != nil {
		r.LearnGap(routing.ObjectKey(objectID(object), 0), record.RequestGap)
	}
}

// copiesLocated tells a router which caches have a copy.
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

// instanceOf names a machine from one of its starts on.
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

// Close times the cohorts. A cohort has full service after its last second below the baseline.
func (s *Service) Close() {
	for _, g := range s.cohorts {
		if g.lastShort >= g.seconds {
			s.NeverFullService++
			continue
		}
		recordDuration(s.FullService, Micros(g.lastShort+1)*clock.Second)
	}
	s.cohorts = nil
}
