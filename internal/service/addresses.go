package service

import (
	"github.com/sirupsen/logrus"

	"threadrun/routing"
)

// An address belongs to one process at a time. If two endpoints of the list have the same address, the one that started
// earlier has gone, and the list does not say so yet: it is displaced. Requests to it would reach the other one, which
// would get twice what its slow start permits, and answer for an endpoint that it is not.
//
// A displaced endpoint counts as removed until the list has another address or start time for it.

// gone reports whether the endpoint was removed from the list or displaced.
func (e *endpoint) gone() bool { return e.removed || e.displaced }

// claimAddress determines which endpoint is at the address of a listed one: this endpoint, or another one that started
// later. Of two that started at the same time, or both long ago, neither is displaced.
func (p *proxy) claimAddress(id routing.EndpointID) {
	e := &p.endpoints[id]
	holder, held := p.addressHolders[e.address]
	if !held || holder == id || p.endpoints[holder].gone() || p.endpoints[holder].address != e.address {
		p.addressHolders[e.address] = id
		return
	}
	other := &p.endpoints[holder]
	switch {
	case e.startedUnixMillis > other.startedUnixMillis:
		p.addressHolders[e.address] = id
		p.displace(holder, e)
	case e.startedUnixMillis < other.startedUnixMillis:
		p.displace(id, other)
	}
}

// displace marks an endpoint as displaced by another one, and appends that to p.endpointUpdate.
func (p *proxy) displace(id routing.EndpointID, by *endpoint) {
	e := &p.endpoints[id]
	e.displaced = true
	e.changed = true
	p.log.WithFields(logrus.Fields{"name": e.name, "address": e.address, "by": by.name}).Info("endpoint displaced")
	p.appendUpdate(id)
}

// releaseAddress forgets the address of an endpoint whose record is about to be reused.
func (p *proxy) releaseAddress(id routing.EndpointID) {
	address := p.endpoints[id].address
	if holder, held := p.addressHolders[address]; held && holder == id {
		delete(p.addressHolders, address)
	}
}
