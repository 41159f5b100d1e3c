package routing

// answerMargin is the time reserved for the final answer: attempts end this long before the client's
// deadline.
const answerMargin = 4 * ms

// attempt is one try of a request at a cache or, for a bypass, at a parent or the origin. The field cache
// holds that endpoint in either case.
type attempt struct {
	cache, source EndpointID
	sent          Micros
	rank          int  // retention rank of a fill
	expectFill    bool // a fill is expected: the attempt counts in the fill limit of its source
	mayFetch      bool // the expected fill may fetch from the origin: counts in the fetch limit
	onlyIfCached  bool // its source, a parent or the origin, was asked for its own copies only
	ended         bool
}

// request is the state of a request between RequestArrived and Executor.Release.
type request struct {
	Request
	id              RequestID
	state           requestState
	objectKey       uint64 // hash of the object and its part
	arrived         Micros
	deadline        Micros
	objective       Micros // time at which the latency objective ends: a later answer is late
	sendTime        Micros // time that sending the answer takes, without any waiting
	overQuota       bool
	attempts        [maxAttempts]attempt
	attemptCount    int
	outstanding     int        // number of attempts in flight
	mayHaveRun      bool       // an attempt may have run at its cache
	mayHaveRunSince Micros     // when the first attempt that may have run was sent
	mayHaveRunAt    EndpointID // the cache of that attempt, or NoEndpoint
	lookupMissed    bool       // an attempt that only looked for a copy found none
	sourceMissed    bool       // a source that was asked for its own copies only had none
	fillFailed      bool       // the last attempt was a cache miss, or failed because of its source
	siblingAsked    bool       // a sibling was the source of an attempt
}

// RequestArrived handles a new request, and passes its id to Executor.IDAssigned first. The request gets
// exactly one final answer, unless its client leaves first.
func (r *Router) RequestArrived(arriving Request) {
	id, req := r.requests.Allocate()
	*req = request{Request: arriving, id: id}
	req.transition(stateArrived)
	r.executor.IDAssigned(id)
	r.recordClaimedSize(req)
	r.initialize(req)
	r.consumeQuota(req)
	r.recordDemand(req)
	r.dispatch(req)
}

// initialize sets the fields of a request that follow from its class, its size and the current time.
func (r *Router) initialize(req *request) {
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
	plan, expectFill, ok := r.plan(req)
	if req.Background && (!ok || !r.backgroundAllowed(req, plan)) {
		r.rejectOrFail(req)
		return
	}
	if !ok && r.now < r.latestDispatch(req) && r.anyCacheUsable() {
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
	r.forward(req, plan, expectFill)
}

// plan decides where a request's next attempt goes; ok is false if no endpoint can take it. expectFill
// reports whether a fill is expected, which counts in the limits of the source. Planning changes state:
// see withinSlowStartBudget and selectQuicker.
func (r *Router) plan(req *request) (plan ForwardPlan, expectFill, ok bool) {
	stats := r.statsOf(req)
	plan = ForwardPlan{
		Deadline:   req.deadline,
		LatestSend: r.latestRepeat(req),
		JoinFill:   r.permissions.JoinFills && !req.Write,
	}
	r.planFreshness(req, stats, &plan)
	cache, anyAtLimit := r.selectCache(req)
	plan.Cache = cache
	if cache == NoEndpoint && anyAtLimit { // a bypass would only overload the parents
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
	r.avoidSlowStartingSource(expectHit, &plan)
	r.avoidOriginFetch(req, &plan)
	r.relaxMaxAge(req, &plan)
	plan.MaxAge = r.maxAgeSincePurge(req, plan.MaxAge)
	return plan, plan.Source != plan.Cache && !expectHit, true
}

// forward starts the next attempt of a request according to a plan.
func (r *Router) forward(req *request, plan ForwardPlan, expectFill bool) {
	att := &req.attempts[req.attemptCount]
	*att = attempt{
		cache:        plan.Cache,
		source:       plan.Source,
		sent:         r.now,
		rank:         plan.Rank,
		expectFill:   expectFill,
		mayFetch:     expectFill && !plan.OnlyIfCached,
		onlyIfCached: plan.OnlyIfCached && r.endpoints[plan.Source].Tier != Edge,
	}
	req.attemptCount++
	req.outstanding++
	r.countInFlight(att, 1)
	r.consumeSlowStartBudgets(req, att)
	r.recordExpectedFill(req, att)
	r.locateCopies(req, att)
	r.executor.Forward(req.id, plan)
}

// AttemptEnded handles the end of an attempt. It ignores attempts that are unknown or have ended before.
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
	req.recordMayHaveRun(att, result.Outcome)
	r.applyResult(req, att, &result)
	r.recordSendTime(req, &result)
	r.recordCopyHolder(req, att, &result)
	r.continueRequest(req, att, &result)
	r.admitQueued()
}

// continueRequest releases a request that was answered, and retries or rejects it if no other attempt is
// in flight.
func (r *Router) continueRequest(req *request, att *attempt, result *AttemptResult) {
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
		r.retry(req, att, result)
	}
}

// ResponseStarted reports that the client has received the first part of a streamed answer.
func (r *Router) ResponseStarted(id RequestID) {
	req := r.requests.Get(id)
	if req != nil {
		req.transition(stateStreaming)
	}
}

// ClientLeft reports that the client has canceled the request or disconnected. The request gets no final
// answer.
func (r *Router) ClientLeft(id RequestID) {
	req := r.requests.Get(id)
	if req != nil {
		req.transition(stateAnswered)
		r.release(req)
	}
}

// GiveUp gives the final answer of a request that waits for its next attempt. It does nothing if the
// request was answered or has an attempt in flight: the caller must end the attempts first.
func (r *Router) GiveUp(id RequestID) {
	req := r.requests.Get(id)
	if req != nil && req.outstanding == 0 {
		r.rejectOrFail(req)
	}
}

// release frees a request if none of its attempts is in flight.
func (r *Router) release(req *request) {
	if req.outstanding > 0 {
		return
	}
	if req.transition(stateReleased) {
		r.executor.Release(req.id)
		r.requests.Free(req.id)
	}
}

// attemptedAt reports whether an attempt was sent to a cache.
func (req *request) attemptedAt(id EndpointID) bool {
	for i := range req.attemptCount {
		if req.attempts[i].cache == id {
			return true
		}
	}
	return false
}
