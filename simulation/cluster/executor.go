package cluster

import (
	"log/slog"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/internal/clock"
	"threadrun/routing"
	"threadrun/simulation/caches"
)

const (
	maxAttempts      = 6
	sendTimeFactor   = 2
	purgePropagation = 6 * clock.Second
)

// executor carries out the decisions of a node's Router, for one start of the node.
type executor struct {
	service   *Service
	node      *Node
	starts    int
	router    *routing.Router
	requests  map[routing.RequestID]*openRequest
	arriving  *openRequest          // not yet accepted
	purges    map[int]receivedPurge // the last one, by object
	fleetSize fleetsize.Size
	cohort    *cohort // nil: started before the disruption
}

// receivedPurge is a purge that a router was notified of.
type receivedPurge struct{ purgedAt, receivedAt Micros }

type openRequest struct {
	object       int
	arrivedAt    Micros
	attempts     int
	openAttempts map[routing.AttemptNumber]bool
	answered     bool
}

func newExecutor(s *Service, n *Node) *executor {
	e := &executor{
		service:  s,
		node:     n,
		starts:   n.starts,
		requests: map[routing.RequestID]*openRequest{},
		purges:   map[int]receivedPurge{},
	}
	e.router = routing.New(e.config())
	e.router.EnableSiblingLookup(n.cluster.Features.Location)
	return e
}

func (e *executor) config() routing.Config {
	c := e.node.cluster
	routers := len(c.Nodes)
	slowStart := routing.SlowStart{
		InitialShare:     caches.SlowStartInitialShare,
		OverloadMultiple: caches.OverloadMultiple,
		Ramp:             caches.SlowStartRamp,
		OverloadWindow:   caches.OverloadWindow,
	}
	return routing.Config{
		Seed:     uint32(c.random.Uint64()),
		Executor: e,
		Classes: []routing.Class{{
			Effect:            routing.Idempotent,
			LatencyObjective:  latencyObjective,
			SendTimeFactor:    sendTimeFactor,
			PriorityWeight:    1,
			FreshnessLifetime: freshnessLifetime,
			Grace:             freshnessLifetime / 4,
		}},
		Locality: routing.Locality{
			Zone:              1,
			ZoneRouters:       routers,
			FleetRouters:      routers,
			StreamKBPerSecond: streamKBPerSecond,
			LinkKBPerSecond:   []float64{0, e.service.workload.totalKBPerSecond() * linkCapacityShare},
		},
		Permissions: routing.Permissions{
			MaxAttempts:     maxAttempts,
			SiblingFills:    true,
			JoinFills:       true,
			FullCacheStatus: true,
		},
		EdgeSlowStart:   slowStart,
		ParentSlowStart: slowStart,
		PurgeTiming:     routing.PurgeTiming{Propagation: purgePropagation},
	}
}

// enter sets the Router's time, which must be done before each call, and returns it. It returns nil if the node has
// ended or restarted.
func (e *executor) enter() *routing.Router {
	if !e.node.Running || e.node.starts != e.starts {
		return nil
	}
	e.router.SetTime(e.node.clock())
	return e.router
}

// updateFleetSize passes the number of routers that share limits to the Router when it has changed.
func (e *executor) updateFleetSize(r *routing.Router) {
	estimate := e.node.Core.FleetSize
	if estimate == nil || estimate.Size() == e.fleetSize {
		return
	}
	e.fleetSize = estimate.Size()
	r.SetFleetSize(e.fleetSize.Zone, e.fleetSize.Fleet)
}

// Accepted assigns an id to the arriving request.
func (e *executor) Accepted(id routing.RequestID) { e.requests[id] = e.arriving }

// Forward sends an attempt to a machine, and ends it at its deadline.
func (e *executor) Forward(id routing.RequestID, plan routing.ForwardPlan) {
	c := e.node.cluster
	request := e.requests[id]
	number := routing.AttemptNumber(request.attempts)
	request.attempts++
	request.openAttempts[number] = true
	sentAt := c.Now
	end := func(result routing.AttemptResult) {
		if !request.openAttempts[number] {
			return
		}
		r := e.enter()
		if r == nil {
			return
		}
		delete(request.openAttempts, number)
		result.Attempt = number
		result.Elapsed = c.Now - sentAt
		result.RequestDone = result.Outcome == routing.Succeeded
		r.AttemptEnded(id, result)
	}
	c.At(plan.Deadline-e.node.clockOffset, func() { end(routing.AttemptResult{Outcome: routing.TimedOut}) })
	e.service.Caches.Attempt(request.object, plan, func(answer caches.Answer) {
		result := routing.AttemptResult{Outcome: answer.Outcome, CacheStatus: answer.CacheStatus}
		if answer.Outcome == routing.Succeeded {
			if !request.openAttempts[number] || e.enter() == nil {
				return
			}
			result.GeneratedAt = answer.GeneratedAt + e.node.clockOffset
			e.succeeded(request, plan.Cache, answer, sentAt)
		}
		end(result)
	})
}

// succeeded counts an attempt that succeeded as the answer to its request.
func (e *executor) succeeded(request *openRequest, cache routing.EndpointID, answer caches.Answer, sentAt Micros) {
	if request.answered {
		e.service.DuplicateAnswers++
		return
	}
	request.answered = true
	counts := RequestCounts{Answered: 1}
	if e.node.cluster.Now-request.arrivedAt <= latencyObjective+2*objectSendTime {
		counts.OnTime = 1
	}
	if answer.CacheStatus == routing.Hit || answer.CacheStatus == routing.Stale {
		counts.Hits = 1
	}
	e.service.count(e, counts)
	purge, ok := e.purges[request.object]
	if ok && sentAt-purge.receivedAt > purgeGrace && answer.GeneratedAt <= purge.purgedAt {
		e.service.StaleAnswers++
	}
	e.observe(request.object, cache, answer)
}

// observe records an answer in the router's directory. One-off objects are left out.
func (e *executor) observe(object int, cache routing.EndpointID, answer caches.Answer) {
	records := e.node.Core.Directory
	if records == nil || object >= len(e.service.workload.weightSums) {
		return
	}
	now := e.node.clock()
	record := directory.Record{Key: keyOf(object), SizeKB: uint32(object), Group: groupOf(object)}
	record.Copies[0] = directory.Copy{
		Cache:     instanceOf(e.service.Caches.Machines[cache]),
		LastSeen:  now,
		CreatedAt: answer.GeneratedAt + e.node.clockOffset,
	}
	records.ObserveRequest(now, record)
}

func (e *executor) countAnswer(id routing.RequestID) {
	request := e.requests[id]
	if request.answered {
		e.service.DuplicateAnswers++
	}
	request.answered = true
}

// Reject answers a request that is safe to retry.
func (e *executor) Reject(id routing.RequestID, _ routing.Micros) { e.countAnswer(id) }

// Fail answers a request that has failed.
func (e *executor) Fail(id routing.RequestID) { e.countAnswer(id) }

// Release drops a request.
func (e *executor) Release(id routing.RequestID) { delete(e.requests, id) }

// SetTimer schedules a call of the Router.
func (e *executor) SetTimer(at routing.Micros) {
	e.node.cluster.At(at-e.node.clockOffset, func() {
		if r := e.enter(); r != nil {
			r.TimerFired()
		}
	})
}

// WatchEndpoints does nothing: the service pushes changes.
func (e *executor) WatchEndpoints() {}

// LocateCopies queries other routers for copies.
func (e *executor) LocateCopies(id routing.RequestID) {
	e.node.Core.Locate(e.node.clock(), keyOf(e.requests[id].object))
}

// SuggestRefresh does nothing: there is no refresh ahead.
func (e *executor) SuggestRefresh(routing.RequestID, routing.Micros, routing.Micros) {}

// Log does nothing.
func (e *executor) Log(string, ...slog.Attr) {}
