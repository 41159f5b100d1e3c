package routing

// dispatchReserve is the part of the latency objective that must be left at dispatch, as a multiple of the
// request's sending time.
const dispatchReserve = 2

// latestDispatch returns the latest time at which an attempt may be sent and still meet the objective.
func (req *request) latestDispatch() Micros { return req.objective - dispatchReserve*req.sendTime }

// enqueue queues a request until there is capacity for an attempt. A timer ends its wait when it is too
// late to meet the objective.
func (r *Router) enqueue(req *request) {
	if !req.transition(stateQueued) {
		return
	}
	r.queue = append(r.queue, req.id)
	r.executor.SetTimer(max(req.latestDispatch(), r.now) + ms)
}

// admitQueued dispatches queued requests while there is capacity.
func (r *Router) admitQueued() {
	for {
		req := r.nextQueued()
		if req == nil {
			return
		}
		r.dispatch(req)
	}
}

// nextQueued returns the queued request with the greatest weight that can be forwarded now, or nil. It
// gives a final answer to queued requests that can no longer meet their objective.
func (r *Router) nextQueued() *request {
	var best *request
	bestWeight := -1.0 // less than any weight: requests of weight 0 are admitted after all others
	queued := r.queue[:0]
	for _, id := range r.queue {
		req := r.requests.Get(id)
		if req == nil || req.state != stateQueued {
			continue
		}
		if r.now > req.latestDispatch() {
			r.rejectOrFail(req)
			continue
		}
		queued = append(queued, id)
		weight := r.queueWeight(req)
		if weight <= bestWeight {
			continue
		}
		if r.canForward(req) {
			best = req
			bestWeight = weight
		}
	}
	r.queue = queued
	return best
}

// queueWeight returns a request's priority weight divided by its own sending time plus the mean of its
// class, so that capacity goes to the requests that are worth most per second of sending.
func (r *Router) queueWeight(req *request) float64 {
	weight := r.classes[req.Class].PriorityWeight / (seconds(req.sendTime) + r.cost(req))
	if req.overQuota {
		weight *= r.tenants[req.Tenant].OverQuotaWeight
	}
	return weight
}

// canForward reports whether a queued request can be forwarded. A request with lookupMissed set
// needs a source. canForward changes state as plan does.
func (r *Router) canForward(req *request) bool {
	plan, _, ok := r.plan(req)
	return ok && (plan.Source != plan.Cache || !req.lookupMissed)
}
