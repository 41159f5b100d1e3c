package service

import (
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// request is the state of an open request.
type request struct {
	id        routing.RequestID
	client    frontend.Client        // nil: the slot is free
	number    frontend.RequestNumber // identifies the request on the client's connection
	params    frontend.Request
	buffer    []byte // contains the bytes that params refers to
	arrivedAt routing.Micros
	attempts  []attempt
	finished  bool // its end was logged
}

// request returns an open request, or nil.
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

// StartRequest accepts a request from the front end, unless an open request has the same trace id: caches identify
// requests by their trace ids and would confuse the two.
func (p *proxy) StartRequest(client frontend.Client, number frontend.RequestNumber, params *frontend.Request) bool {
	if _, open := p.openTraceIDs[params.TraceID]; open {
		return false
	}
	p.arriving = request{client: client, number: number, params: *params}
	p.copyBytes(&p.arriving)
	p.setRouterTime()
	r := routingRequest(params)
	if !r.Background {
		r.Remaining = max(r.Remaining-p.unreadFor(params.UnreadFor), 0)
	}
	p.router.RequestArrived(r)
	return true
}

// copyBytes copies the memory that the request's parameters refer to, which is valid only during the front end's
// call.
func (p *proxy) copyBytes(r *request) {
	in := &r.params
	size := len(in.Body) + len(in.CachedVersion) + len(in.IdempotencyKey)
	if size == 0 {
		return
	}
	r.buffer = append(p.engine.GetBuffer(size), in.Body...)
	r.buffer = append(r.buffer, in.CachedVersion...)
	r.buffer = append(r.buffer, in.IdempotencyKey...)
	bodyEnd := len(in.Body)
	versionEnd := bodyEnd + len(in.CachedVersion)
	in.Body = r.buffer[:bodyEnd]
	in.CachedVersion = r.buffer[bodyEnd:versionEnd]
	in.IdempotencyKey = r.buffer[versionEnd:]
}

// Accepted implements routing.Executor: it sets the router's id of the request that is arriving.
func (p *proxy) Accepted(id routing.RequestID) {
	for len(p.requests) <= id.Index() {
		p.requests = append(p.requests, request{})
	}
	r := &p.requests[id.Index()]
	reused := r.attempts[:0]
	*r = p.arriving
	r.id = id
	r.arrivedAt = p.now
	r.attempts = reused
	p.openTraceIDs[r.params.TraceID] = struct{}{}
	r.client.Assigned(r.number, id)
	p.requestLog.arrived(r, p.now)
}

// ClientLeft is called when a request's client has canceled it or disconnected.
func (p *proxy) ClientLeft(id routing.RequestID) {
	r := p.request(id)
	if r == nil {
		return
	}
	p.setRouterTime()
	p.requestLog.finished(r, "client left", p.now)
	p.withdrawFrom(r, routing.Canceled, func(*attempt) bool { return true }) // start no attempt for a client that left
	p.router.ClientLeft(id)
}

// Reject answers that a retry is safe after the given time. If retryAfter is 0, the client is not told when to
// retry.
func (p *proxy) Reject(id routing.RequestID, retryAfter routing.Micros) {
	r := p.request(id)
	if r == nil {
		return
	}
	r.client.Reject(r.number, retryAfter)
	p.requestLog.finished(r, "rejected", p.now)
}

// Fail answers that a request failed.
func (p *proxy) Fail(id routing.RequestID) {
	if r := p.request(id); r != nil {
		p.fail(r)
	}
}

func (p *proxy) fail(r *request) {
	r.client.Fail(r.number)
	p.requestLog.finished(r, "failed", p.now)
}

// Release frees a request.
func (p *proxy) Release(id routing.RequestID) {
	r := p.request(id)
	if r == nil {
		return
	}
	delete(p.openTraceIDs, r.params.TraceID)
	p.engine.PutBuffer(r.buffer)
	*r = request{attempts: r.attempts[:0]}
}

// routingRequest converts a request to the router's representation.
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
		Gap:        params.RequestGap,
	}
}

// objectID returns the id by which the router knows an object.
func objectID(params *frontend.Request) routing.ObjectID {
	return routing.ObjectID(hash.String(string(params.Object[:])))
}

// objectKey returns the key of an object's part in the directory of cached objects.
func objectKey(params *frontend.Request) uint64 {
	return routing.ObjectKey(objectID(params), params.Part)
}
