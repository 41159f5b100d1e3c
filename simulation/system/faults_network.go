package system

import (
	"threadrun/simulation/faults"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	// retransmitTail is how long after a partition a host still receives retransmissions.
	retransmitTail = 500 * ms

	// Parameters of a throttled link. The delay of connects is slightly below their timeout of 300 ms in the settings.
	throttledRate    = 20 // bytes a millisecond
	throttledConnect = 250 * ms
	throttledSplit   = 0.9 // share of the segments that are sent only in part
	throttledBuffer  = 512 // bytes, of the send buffer
)

// host returns the host of a router or a machine by its name in scripts.
func (s *Simulation) host(name string) *network.Host {
	if r := s.routerNamed(name); r != nil {
		return r.host
	}
	return s.machineInSlot(name).host
}

// beginProcessFault begins a fault of a router's or a machine's process or host.
func (s *Simulation) beginProcessFault(l faults.Line) bool {
	name := l.Targets[0]
	r := s.routerNamed(name)
	switch l.Kind {
	case faults.Crash:
		if r != nil {
			return r.crash(l.Span)
		}
		return s.machineInSlot(name).crash(l.Span)
	case faults.Shutdown:
		return r.shutDown(l.Span)
	case faults.Pause:
		return s.pause(s.host(name), r, l.Span)
	case faults.Partition:
		return s.partition(s.host(name), r, l.Span)
	case faults.ExhaustDescriptors:
		return r.exhaustDescriptors(l.Span)
	default: // faults.ClockJump
		s.jumpClock(s.host(name), l.Span)
		return true
	}
}

// pause suspends a host's process for a span. r is nil for a machine.
func (s *Simulation) pause(h *network.Host, r *router, span Micros) bool {
	if !h.Running() || h.Paused() {
		return false
	}
	h.Pause()
	r.addBlockingFaults(1)
	s.after(span, func() {
		r.addBlockingFaults(-1)
		h.Resume()
	})
	return true
}

// partition takes a host off the network for a span. r is nil for a machine.
func (s *Simulation) partition(h *network.Host, r *router, span Micros) bool {
	if h.Partitioned() {
		return false
	}
	h.SetPartitioned(true)
	r.addBlockingFaults(1)
	r.observePartition(invariants.RouterPartitioned)
	s.after(span, func() {
		h.SetPartitioned(false)
		s.after(retransmitTail, func() {
			r.observePartition(invariants.RouterRejoined)
			r.addBlockingFaults(-1)
		})
	})
	return true
}

// exhaustDescriptors limits a router for a span to the descriptors that it uses at the start of the fault: one for each
// connection, and one for its listener.
func (r *router) exhaustDescriptors(span Micros) bool {
	if r.host.MaxDescriptors != 0 {
		return false
	}
	r.host.MaxDescriptors = r.host.Connections() + 1
	r.addBlockingFaults(1)
	r.sim.after(span, func() {
		r.host.MaxDescriptors = 0
		r.addBlockingFaults(-1)
	})
	return true
}

// jumpClock changes a host's wall clock by an offset, and reverts the change after a span as long as the offset,
// unless the process has restarted in the meantime.
func (s *Simulation) jumpClock(h *network.Host, offset Micros) {
	incarnation := h.Incarnation()
	h.ClockSkew += offset
	s.after(max(offset, -offset), func() {
		if h.Incarnation() == incarnation {
			h.ClockSkew -= offset
		}
	})
}

// beginLinkFault begins a fault of a link, or of the connections between two hosts.
func (s *Simulation) beginLinkFault(l faults.Line) bool {
	from, to := s.host(l.Targets[0]), s.host(l.Targets[1])
	link := s.world.Link(from, to)
	switch l.Kind {
	case faults.Cut:
		if link.Cut {
			return false
		}
		link.Cut = true
		s.after(l.Span, func() { link.Cut = false })
	case faults.Loss:
		s.addLoss(link, l)
	case faults.Throttle:
		return s.throttle(from, link, l.Span)
	case faults.Reset:
		s.world.ResetConnections(from, to, int(l.Magnitude), resetFilter(l.Variant))
	}
	return true
}

// addLoss makes a link lose and duplicate a share of its datagrams. While faults overlap, the largest of their
// shares applies until the last one ends.
func (s *Simulation) addLoss(link *network.Link, l faults.Line) {
	s.losses[link]++
	share := max(link.LossShare, l.Magnitude)
	link.LossShare = share
	link.DuplicateShare = share
	s.after(l.Span, func() {
		s.losses[link]--
		if s.losses[link] == 0 {
			link.LossShare = 0
			link.DuplicateShare = 0
		}
	})
}

// throttle limits the rate of a link, and makes its sender send small segments.
func (s *Simulation) throttle(from *network.Host, link *network.Link, span Micros) bool {
	if link.BytesPerMillisecond != 0 {
		return false
	}
	link.BytesPerMillisecond = throttledRate
	link.ConnectDelay = throttledConnect
	from.SplitShare = throttledSplit
	from.SendBuffer = throttledBuffer
	s.after(span, func() {
		link.BytesPerMillisecond = 0
		link.ConnectDelay = 0
		from.SplitShare = network.DefaultSplitShare
		from.SendBuffer = network.DefaultSendBuffer
	})
	return true
}

// resetFilter returns the filter of World.ResetConnections for a variant of faults.Reset: connections that are being
// established, established ones without bytes in transit, or all established ones.
func resetFilter(variant string) func(unread, unsent int, connecting bool) bool {
	return func(unread, unsent int, connecting bool) bool {
		switch variant {
		case faults.ResetNew:
			return connecting
		case faults.ResetIdle:
			return !connecting && unread+unsent == 0
		default:
			return !connecting
		}
	}
}

// beginDiscoveryFault begins a fault of discovery.
func (s *Simulation) beginDiscoveryFault(l faults.Line) bool {
	d := s.discovery
	switch l.Kind {
	case faults.DelayDiscovery:
		d.delayedUntil = max(d.delayedUntil, s.world.Now()+l.Span)
	case faults.FragmentDiscovery:
		s.activateFor(&d.fragments, l.Span)
	case faults.DiscoveryOutage:
		return d.partition(l.Span)
	}
	return true
}

// partition takes discovery off the network for a span.
func (d *discovery) partition(span Micros) bool {
	if d.host.Partitioned() {
		return false
	}
	d.host.SetPartitioned(true)
	d.sim.observe(invariants.Event{Kind: invariants.DiscoveryDown})
	d.sim.after(span, func() {
		d.host.SetPartitioned(false)
		d.sim.observe(invariants.Event{Kind: invariants.DiscoveryUp})
	})
	return true
}
