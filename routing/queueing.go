package routing

// dispatchReserve is how many of a request's sending times must be left of its latency objective.
const dispatchReserve = 2

// latestDispatch is the last moment at which an attempt may set out and be in time.
func (req *request) latestDispatch() Micros { return req.objective - dispatchReserve*req.sendTime }

// enqueue holds a request until there is capacity for its attempt. The timer ends its wait when it is too
// late.
func (r *Router) enqueue(req *request) {
	if !req.transition(stateQueued) {
		return
	}
	r.queue = append(r.queue, req.id)
	r.executor.SetTimer(max(req.latestDispatch(), r.now) + ms)
}

// admitQueued dispatches queued requests while there is capacity for one.
func (r *Router) admitQueued() {
	for {
		req := r.nextQueued()
		if req == nil {
			return
		}
		r.dispatch(req)
	}
}

// nextQueued returns the queued request of the greatest weight that can be forwarded now, or nil. It ends
// the wait of those that could no longer be in time.
func (r *Router) nextQueued() *request {
	var best *request
	bestWeight := 0.0
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

// queueWeight is a request's priority weight for each second that it takes.
func (r *Router) queueWeight(req *request) float64 {
	weight := r.classes[req.Class].PriorityWeight / (seconds(req.sendTime) + r.cost(req))
	if req.overQuota {
		weight *= r.tenants[req.Tenant].OverQuotaWeight
	}
	return weight
}

// canForward reports whether a queued request has somewhere to go. One whose cache has no copy needs a
// source.
func (r *Router) canForward(req *request) bool {
	plan, _, ok := r.plan(req)
	return ok && (plan.Source != plan.Cache || !req.lookupMissed)
}
