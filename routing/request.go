package routing

// answerMargin is how long before the client gives up an attempt ends.
const answerMargin = 4 * ms

// attempt is one try of a request at a cache.
type attempt struct {
	cache, source EndpointID
	sent          Micros
	rank          int
	mayFill       bool // counts in the source's fill limit
	mayFetch      bool // counts in the fetch limit: its source may ask the origin
	onlyIfCached  bool // a parent was asked for what it holds, and only that
	ended         bool
}

// request is a Request in hand.
type request struct {
	Request
	id              RequestID
	state           requestState
	objectKey       uint64 // of the object's part
	arrived         Micros
	deadline        Micros
	objective       Micros // an answer after it is late
	sendTime        Micros // what its answer takes to send, without waiting
	overQuota       bool
	attempts        [attemptsMost]attempt
	attemptCount    int
	outstanding     int
	mayHaveRun      bool // some attempt may have
	mayHaveRunSince Micros
	mayHaveRunAt    EndpointID
	lookupMissed    bool // its cache was asked for what it holds, and has no copy
	sourceMissed    bool // its source was asked for what it holds, and has no copy
	fillFailed      bool // the last attempt failed for its source, not for its cache
	siblingAsked    bool // a sibling was its source
}

// RequestArrived takes a request. One final answer is owed from here on.
func (r *Router) RequestArrived(arriving Request) {
	id, req := r.requests.Allocate()
	*req = request{Request: arriving, id: id}
	req.transition(stateArrived)
	r.executor.Accepted(id)
	r.learnFromSize(req)
	r.prepare(req)
	r.chargeQuota(req)
	r.recordDemand(req)
	r.dispatch(req)
}

// prepare fills in what a request's decisions go by.
func (r *Router) prepare(req *request) {
	class := &r.classes[req.Class]
	req.Write = req.Write || class.Write
	req.objectKey = ObjectKey(req.Object, req.Part)
	req.mayHaveRunAt = NoEndpoint
	req.sendTime = r.expectedSendTime(req)
	req.arrived = r.now
	req.deadline = r.now + req.Remaining - answerMargin
	objective := class.LatencyObjective + Micros(class.SendTimeFactor*float64(req.sendTime))
	req.objective = min(r.now+objective, req.deadline)
}

// dispatch forwards a request, queues it or gives its final answer.
func (r *Router) dispatch(req *request) {
	plan, mayFill, ok := r.plan(req)
	if req.Background && (!ok || !r.backgroundFits(req, plan)) {
		r.rejectOrFail(req)
		return
	}
	if !ok && r.now < req.latestDispatch() && r.anyCacheUsable() {
		r.enqueue(req)
		return
	}
	if !ok || plan.Deadline <= r.now {
		r.rejectOrFail(req)
		return
	}
	if !req.transition(stateInFlight) {
		r.rejectOrFail(req)
		return
	}
	r.forward(req, plan, mayFill)
}

// plan decides where a request's next attempt goes, if anywhere. mayFill reports whether a fill is
// expected: it counts in the limits behind the source. Planning has effects on what it looks at: see
// withinSlowStartBudget and quicker.
func (r *Router) plan(req *request) (plan ForwardPlan, mayFill, ok bool) {
	stats := r.statsOf(req)
	plan = ForwardPlan{Deadline: req.deadline, JoinFill: r.permissions.JoinFills && !req.Write}
	r.planFreshness(req, stats, &plan)
	cache, crowded := r.selectCache(req)
	plan.Cache = cache
	if cache == NoEndpoint && crowded { // a bypass would only crowd the parents
		return plan, false, false
	}
	if cache == NoEndpoint {
		return r.planBypass(req, plan)
	}
	expectHit := r.expectsHit(req, stats, &r.endpoints[cache])
	r.planSource(req, stats, expectHit, &plan)
	if req.Write && plan.Source == plan.Cache {
		return r.planBypass(req, plan)
	}
	r.spareSlowStartingSource(expectHit, &plan)
	r.spareOrigin(req, &plan)
	r.relaxMaxAge(req, &plan)
	plan.MaxAge = r.maxAgeSincePurge(req, plan.MaxAge)
	return plan, plan.Source != plan.Cache && !expectHit, true
}

// forward starts the next attempt.
func (r *Router) forward(req *request, plan ForwardPlan, mayFill bool) {
	att := &req.attempts[req.attemptCount]
	*att = attempt{
		cache:        plan.Cache,
		source:       plan.Source,
		sent:         r.now,
		rank:         plan.Rank,
		mayFill:      mayFill,
		mayFetch:     mayFill && !plan.OnlyIfCached,
		onlyIfCached: plan.OnlyIfCached && r.endpoints[plan.Source].Tier != Edge,
	}
	req.attemptCount++
	req.outstanding++
	r.countInFlight(att, 1)
	r.chargeSlowStart(req, att)
	r.watchForSilence(req, att)
	r.locateCopies(req, att)
	r.executor.Forward(req.id, plan)
}

// AttemptEnded takes the end of one attempt.
func (r *Router) AttemptEnded(id RequestID, result AttemptResult) {
	req := r.requests.Get(id)
	if req == nil || int(result.Attempt) >= req.attemptCount {
		return
	}
	att := &req.attempts[result.Attempt]
	if att.ended {
		return
	}
	att.ended = true
	req.outstanding--
	r.countInFlight(att, -1)
	req.noteMayHaveRun(att, result.Outcome)
	r.observe(req, att, &result)
	r.learnSendTime(req, &result)
	r.learnCopy(req, att, &result)
	r.continueAfter(req, att, &result)
	r.admitQueued()
}

// continueAfter takes a request on from the end of an attempt.
func (r *Router) continueAfter(req *request, att *attempt, result *AttemptResult) {
	if result.RequestDone {
		req.transition(stateAnswered)
	}
	if req.state == stateAnswered {
		r.release(req)
		return
	}
	if req.outstanding > 0 {
		return
	}
	if req.transition(stateBetweenAttempts) {
		r.retry(req, att, result.Outcome)
	}
}

// ResponseStarted reports that a streamed answer has begun.
func (r *Router) ResponseStarted(id RequestID) {
	req := r.requests.Get(id)
	if req != nil {
		req.transition(stateStreaming)
	}
}

// ClientLeft reports that the client has gone. Nothing more is owed.
func (r *Router) ClientLeft(id RequestID) {
	req := r.requests.Get(id)
	if req != nil {
		req.transition(stateAnswered)
		r.release(req)
	}
}

// release frees a request once no attempt is out.
func (r *Router) release(req *request) {
	if req.outstanding > 0 {
		return
	}
	if req.transition(stateReleased) {
		r.executor.Release(req.id)
		r.requests.Free(req.id)
	}
}

func (req *request) triedAt(id EndpointID) bool {
	for i := range req.attemptCount {
		if req.attempts[i].cache == id {
			return true
		}
	}
	return false
}
