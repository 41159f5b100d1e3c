package service

import (
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// request is the state of an open request. A slot of proxy.requests is reused after the request's release.
type request struct {
	id           routing.RequestID
	client       frontend.Client        // nil: the slot is free
	number       frontend.RequestNumber // identifies the request to its client
	params       frontend.Request
	buffer       []byte // backs the slices in params; returned to the engine by Release
	arrivedAt    routing.Micros
	attempts     []attempt // indexed by routing.AttemptNumber
	finishLogged bool      // requestLog.finished has logged its end
}

// request returns an open request, or nil if it was released.
func (p *proxy) request(id routing.RequestID) *request {
	index := id.Index()
	if index >= len(p.requests) {
		return nil
	}
	r := &p.requests[index]
	if r.id != id || r.client == nil {
		return nil
	}
	return r
}

// StartRequest starts a request of a client or of background work, and reports whether it did. It refuses a
// request whose trace id is that of an open request: caches identify requests by their trace ids and would confuse
// the two. It also refuses one that has come before and must not take effect twice.
func (p *proxy) StartRequest(client frontend.Client, number frontend.RequestNumber, params *frontend.Request) bool {
	_, open := p.openTraceIDs[params.TraceID]
	if open || p.recentIDs.contains(params.TraceID, p.clockNow()) {
		return false
	}
	p.arriving = request{client: client, number: number, params: *params}
	p.copyBytes(&p.arriving)
	p.setRouterTime()
	r := routingRequest(params)
	if !r.Background {
		r.Remaining = p.remainingTime(params)
	}
	p.router.RequestArrived(r)
	return true
}

// remainingTime returns how long a client waits at most from now on. Its timeout began before its request was read. A
// timeout longer than those of its class is not believed: a cache that does not answer would hold the attempt, and the
// capacity that it takes, for as long as any client likes, even after it has left.
func (p *proxy) remainingTime(params *frontend.Request) routing.Micros {
	timeout := min(params.Timeout, p.names.LongestTimeout(params.Class))
	return max(timeout-p.maxUnreadTime(params.UnreadFor), 0)
}

// copyBytes copies the bytes that the slices in the request's parameters refer to into r.buffer: the originals are
// valid only during the front end's call.
func (p *proxy) copyBytes(r *request) {
	params := &r.params
	size := len(params.Body) + len(params.CachedVersion) + len(params.IdempotencyKey)
	if size == 0 {
		return
	}
	r.buffer = append(p.engine.GetBuffer(size), params.Body...)
	r.buffer = append(r.buffer, params.CachedVersion...)
	r.buffer = append(r.buffer, params.IdempotencyKey...)
	bodyEnd := len(params.Body)
	versionEnd := bodyEnd + len(params.CachedVersion)
	params.Body = r.buffer[:bodyEnd]
	params.CachedVersion = r.buffer[bodyEnd:versionEnd]
	params.IdempotencyKey = r.buffer[versionEnd:]
}

// IDAssigned implements routing.Executor: it stores the arriving request under the id that the Router has assigned.
func (p *proxy) IDAssigned(id routing.RequestID) {
	for len(p.requests) <= id.Index() {
		p.requests = append(p.requests, request{})
	}
	r := &p.requests[id.Index()]
	attemptsBuffer := r.attempts[:0] // avoids an allocation
	*r = p.arriving
	r.id = id
	r.arrivedAt = p.now
	r.attempts = attemptsBuffer
	p.openTraceIDs[r.params.TraceID] = struct{}{}
	r.client.IDAssigned(r.number, id)
	p.requestLog.arrived(r, p.now)
}

// ClientLeft implements frontend.Handler: it handles a request whose client has canceled it or has disconnected.
func (p *proxy) ClientLeft(id routing.RequestID) {
	r := p.request(id)
	if r == nil {
		return
	}
	p.setRouterTime()
	p.requestLog.finished(r, "client left", p.now)
	p.withdrawFrom(r, routing.Canceled, func(*attempt) bool { return true }) // the caches need not run these attempts
	p.router.ClientLeft(id)
}

// Reject implements routing.Executor: it answers that the request may safely be sent again after retryAfter. If
// retryAfter is 0, the client is not told when.
func (p *proxy) Reject(id routing.RequestID, retryAfter routing.Micros) {
	r := p.request(id)
	if r == nil {
		return
	}
	r.client.Reject(r.number, retryAfter)
	p.requestLog.finished(r, "rejected", p.now)
}

// Fail implements routing.Executor: it answers that the request failed, and may have run.
func (p *proxy) Fail(id routing.RequestID) {
	if r := p.request(id); r != nil {
		p.fail(r)
	}
}

func (p *proxy) fail(r *request) {
	r.client.Fail(r.number)
	p.requestLog.finished(r, "failed", p.now)
}

// Release implements routing.Executor: it frees the request's slot, buffer and trace id.
func (p *proxy) Release(id routing.RequestID) {
	r := p.request(id)
	if r == nil {
		return
	}
	delete(p.openTraceIDs, r.params.TraceID)
	p.engine.PutBuffer(r.buffer)
	*r = request{attempts: r.attempts[:0]}
}

// routingRequest converts a request to the Router's representation.
func routingRequest(params *frontend.Request) routing.Request {
	return routing.Request{
		Class:      params.Class,
		Object:     objectID(params),
		Part:       params.Part,
		Group:      params.Group,
		Tenant:     params.Tenant,
		Remaining:  params.Timeout,
		SizeKB:     params.SizeKB,
		Background: params.Background,
		RequestGap: params.RequestGap,
	}
}

// objectID returns the id by which the Router knows an object.
func objectID(params *frontend.Request) routing.ObjectID {
	return routing.ObjectID(hash.String(string(params.Object[:])))
}

// objectKey returns the key of an object's part in the directory of cached objects.
func objectKey(params *frontend.Request) uint64 {
	return routing.ObjectKey(objectID(params), params.Part)
}
