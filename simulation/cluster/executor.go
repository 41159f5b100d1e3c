package cluster

import (
	"log/slog"

	"threadrun/cluster/directory"
	"threadrun/cluster/fleetsize"
	"threadrun/internal/clock"
	"threadrun/routing"
	"threadrun/simulation/caches"
)

// Settings of the simulated Routers.
const (
	maxAttempts      = 6
	sendTimeFactor   = 2
	purgePropagation = 6 * clock.Second
)

// executor carries out the decisions of a node's Router. Each start of the node has its own executor, and the Router
// of an earlier start is not called any more.
type executor struct {
	service   *Service
	node      *Node
	start     int // value of node.starts for this executor
	router    *routing.Router
	requests  map[routing.RequestID]*openRequest
	arriving  *openRequest          // passed to the Router, which has not accepted it yet
	purges    map[int]receivedPurge // the latest purge of each object
	fleetSize fleetsize.Size        // last passed to the Router
	cohort    *cohort               // nil: the node started before the disruption
}

// receivedPurge is a purge that a router was notified of. Its times are virtual.
type receivedPurge struct{ purgedAt, receivedAt Micros }

// openRequest is a request that the Router has not released.
type openRequest struct {
	object       int
	arrivedAt    Micros // virtual time
	attempts     int    // so far
	openAttempts map[routing.AttemptNumber]bool
	answered     bool
}

func newExecutor(s *Service, n *Node) *executor {
	e := &executor{
		service:  s,
		node:     n,
		start:    n.starts,
		requests: map[routing.RequestID]*openRequest{},
		purges:   map[int]receivedPurge{},
	}
	e.router = routing.New(e.config())
	e.router.EnableSiblingLookup(n.cluster.Features.Location)
	return e
}

// config returns the configuration of a Router, with one class of idempotent requests and a seed that it draws.
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

// syncRouter sets the Router's time to the node's clock and returns the Router. Each call of the Router must be
// preceded by it. It returns nil if the node has ended or has been started again.
func (e *executor) syncRouter() *routing.Router {
	if !e.node.Running || e.node.starts != e.start {
		return nil
	}
	e.router.SetTime(e.node.clock())
	return e.router
}

// updateFleetSize passes the number of routers in the zone and the fleet, which share limits, to the Router if it has
// changed.
func (e *executor) updateFleetSize(r *routing.Router) {
	estimate := e.node.Core.FleetSize
	if estimate == nil || estimate.Size() == e.fleetSize {
		return
	}
	e.fleetSize = estimate.Size()
	r.SetFleetSize(e.fleetSize.Zone, e.fleetSize.Fleet)
}

// IDAssigned stores the arriving request under the id that the Router has assigned to it.
func (e *executor) IDAssigned(id routing.RequestID) { e.requests[id] = e.arriving }

// Forward makes an attempt at a simulated cache. The attempt times out at its deadline unless it has ended by then.
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
		r := e.syncRouter()
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
			if !request.openAttempts[number] || e.syncRouter() == nil {
				return
			}
			result.CreatedAt = answer.CreatedAt + e.node.clockOffset
			e.recordSuccess(request, plan.Cache, answer, sentAt)
		}
		end(result)
	})
}

// recordSuccess counts a successful attempt as the answer to its request, or as a duplicate answer if the request had
// one. An answer that is older than a purge counts as stale if the router had known of the purge for longer than
// purgeGrace when it sent the attempt.
func (e *executor) recordSuccess(request *openRequest, cache routing.EndpointID, answer caches.Answer, sentAt Micros) {
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
	if ok && sentAt-purge.receivedAt > purgeGrace && answer.CreatedAt <= purge.purgedAt {
		e.service.StaleAnswers++
	}
	e.observeCopy(request.object, cache, answer)
}

// observeCopy records the copy that a cache answered with in the router's directory. Objects that are requested only
// once are left out.
func (e *executor) observeCopy(object int, cache routing.EndpointID, answer caches.Answer) {
	dir := e.node.Core.Directory
	if dir == nil || object >= len(e.service.workload.cumulativeWeights) {
		return
	}
	now := e.node.clock()
	// The object's number is stored as the size, see Workload.recordRecovered.
	record := directory.Record{Key: keyOf(object), SizeKB: uint32(object), Group: groupOf(object)}
	record.Copies[0] = directory.Copy{
		Cache:     instanceOf(e.service.Caches.Machines[cache]),
		LastSeen:  now,
		CreatedAt: answer.CreatedAt + e.node.clockOffset,
	}
	dir.ObserveRequest(now, record)
}

// markAnswered marks a request as answered by a rejection or a failure.
func (e *executor) markAnswered(id routing.RequestID) {
	request := e.requests[id]
	if request.answered {
		e.service.DuplicateAnswers++
	}
	request.answered = true
}

// Reject answers a request with a rejection, after which the client may retry it safely.
func (e *executor) Reject(id routing.RequestID, _ routing.Micros) { e.markAnswered(id) }

// Fail answers a request with a failure.
func (e *executor) Fail(id routing.RequestID) { e.markAnswered(id) }

// Release drops the state of a request.
func (e *executor) Release(id routing.RequestID) { delete(e.requests, id) }

// SetTimer schedules a call of the Router's TimerFired at a time of the node's clock.
func (e *executor) SetTimer(at routing.Micros) {
	e.node.cluster.At(at-e.node.clockOffset, func() {
		if r := e.syncRouter(); r != nil {
			r.TimerFired()
		}
	})
}

// WatchEndpoints does nothing: the Service passes changes of the endpoint list to the Router.
func (e *executor) WatchEndpoints() {}

// LocateCopies asks the node's core to locate copies of the request's object, also at other routers.
func (e *executor) LocateCopies(id routing.RequestID) {
	e.node.Core.Locate(e.node.clock(), keyOf(e.requests[id].object))
}

// SuggestRefresh does nothing: the simulation has no refresh ahead.
func (e *executor) SuggestRefresh(routing.RequestID, routing.Micros, routing.Micros) {}

// Log discards the Router's log lines.
func (e *executor) Log(string, ...slog.Attr) {}
