package service

import "threadrun/routing"

// endedAttempt is an attempt's end that has not been reported to the router yet.
type endedAttempt struct {
	request routing.RequestID
	result  routing.AttemptResult
}

// deliverResults reports ended attempts and departed clients to the router, including those that result from these
// reports. The engine calls it at the end of each callback.
func (p *proxy) deliverResults() {
	for p.delivered < len(p.results) || len(p.clientsLeft) > 0 {
		if last := len(p.clientsLeft) - 1; last >= 0 {
			id := p.clientsLeft[last]
			p.clientsLeft = p.clientsLeft[:last]
			p.ClientLeft(id)
			continue
		}
		next := p.results[p.delivered]
		p.delivered++
		p.deliverResult(next)
	}
	p.results = p.results[:0]
	p.delivered = 0
}

// deliverResult reports one ended attempt. If the router panics, only that request fails.
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
