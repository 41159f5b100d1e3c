package routing

// dispatchReserve is the part of the latency objective that must be left at dispatch, as a multiple of the
// request's sending time.
const dispatchReserve = 2

// latestDispatch returns the latest time at which an attempt of a queued request may be sent: it must still
// meet the objective, and must not let the request take effect twice.
func (r *Router) latestDispatch(req *request) Micros {
	return min(req.objective-dispatchReserve*req.sendTime, r.latestRepeat(req))
}

// enqueue queues a request until there is capacity for an attempt. A timer ends its wait after its latest
// dispatch.
func (r *Router) enqueue(req *request) {
	if !req.transition(stateQueued) {
		return
	}
	r.queue = append(r.queue, req.id)
	r.executor.SetTimer(max(r.latestDispatch(req), r.now) + ms)
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
// gives a final answer to queued requests whose latest dispatch has passed.
func (r *Router) nextQueued() *request {
	var best *request
	bestWeight := -1.0 // less than any weight: requests of weight 0 are admitted after all others
	queued := r.queue[:0]
	for _, id := range r.queue {
		req := r.requests.Get(id)
		if req == nil || req.state != stateQueued {
			continue
		}
		if r.now > r.latestDispatch(req) {
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
