package service

import "threadrun/routing"

// endedAttempt is the result of an attempt that is queued for the Router.
type endedAttempt struct {
	request routing.RequestID
	result  routing.AttemptResult
}

// deliverResults reports the queued results and the clients that have left to the Router. This includes the results
// and clients that are added during these calls of the Router. The engine calls it at the end of each callback.
func (p *proxy) deliverResults() {
	for p.deliveredCount < len(p.results) || len(p.abandonedRequests) > 0 {
		if last := len(p.abandonedRequests) - 1; last >= 0 {
			id := p.abandonedRequests[last]
			p.abandonedRequests = p.abandonedRequests[:last]
			p.ClientLeft(id)
			continue
		}
		next := p.results[p.deliveredCount]
		p.deliveredCount++
		p.deliverResult(next)
	}
	p.results = p.results[:0]
	p.deliveredCount = 0
}

// deliverResult reports one ended attempt to the Router. If the Router panics, only that request fails.
func (p *proxy) deliverResult(ended endedAttempt) {
	defer func() {
		if cause := recover(); cause != nil {
			p.log.WithField("panic", cause).Error("router panicked on an attempt's result")
			if r := p.request(ended.request); r != nil {
				p.fail(r)
			}
		}
	}()
	p.setRouterTime()
	p.router.AttemptEnded(ended.request, ended.result)
}
