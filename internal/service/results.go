package service

import "threadrun/routing"

// endedAttempt is an attempt's end on its way to the router.
type endedAttempt struct {
	request routing.RequestID
	result  routing.AttemptResult
}

// deliverResults reports to the router, at the end of each callback, the attempts that ended and the clients that left,
// and those that follow from this.
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

// deliverResult reports one end. Should the router panic over it, that request fails and no other suffers.
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
