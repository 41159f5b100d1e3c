package service

import (
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// request is what is held of one request in hand.
type request struct {
	id        routing.RequestID
	client    frontend.Client        // nil: the slot is free
	number    frontend.RequestNumber // the client's connection knows the request by it
	params    frontend.Request
	buffer    []byte // holds the bytes that params points to
	arrivedAt routing.Micros
	attempts  []attempt
}

// request finds a request in hand, or nil.
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

// Arrive accepts a request from a front end, unless its trace id is that of a request in hand: caches know requests
// by their trace ids, and would confuse the two.
func (p *proxy) Arrive(client frontend.Client, number frontend.RequestNumber, params *frontend.Request) bool {
	if _, open := p.openTraceIDs[params.TraceID]; open {
		return false
	}
	p.arriving = request{client: client, number: number, params: *params}
	p.copyBytes(&p.arriving)
	p.setRouterTime()
	r := routingRequest(params)
	if !r.Background {
		r.Remaining = max(r.Remaining-p.maxUnreadAge(), 0)
	}
	p.router.RequestArrived(r)
	return true
}

// copyBytes copies what the request's parameters point to: it is good within the front end's call only.
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

// Accepted gives the request that is arriving the router's id for it.
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

// ClientLeft is called when a request's client has canceled it or is gone.
func (p *proxy) ClientLeft(id routing.RequestID) {
	r := p.request(id)
	if r == nil {
		return
	}
	p.setRouterTime()
	p.requestLog.finished(r, "client left", p.now)
	p.withdrawFrom(r, routing.Canceled, func(*attempt) bool { return true }) // no attempt begins for a client that left
	p.router.ClientLeft(id)
}

// Reject answers that a retry is safe, and when it may come; 0: the client is not told when.
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

// Release forgets a request.
func (p *proxy) Release(id routing.RequestID) {
	r := p.request(id)
	if r == nil {
		return
	}
	delete(p.openTraceIDs, r.params.TraceID)
	p.engine.PutBuffer(r.buffer)
	*r = request{attempts: r.attempts[:0]}
}

// routingRequest converts a request for the router.
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

// objectID is the number by which the routing decisions know an object.
func objectID(params *frontend.Request) routing.ObjectID {
	return routing.ObjectID(hash.String(string(params.Object[:])))
}

// objectKey is an object's part as the directory of cached objects names it.
func objectKey(params *frontend.Request) uint64 {
	return routing.ObjectKey(objectID(params), params.Part)
}
