package routing

import "math"

const (
	maxSendTimeObjectives = 20.0  // upper bound of a sending time claimed by a client, in latency objectives
	slowerHitWeight       = 0.05  // weight of a hit that took longer than the object's sending time
	minSendTime           = 0.001 // least cost of a request, in seconds
)

// expectedSendTime returns how long sending a request's answer takes: computed from its size, else learned
// from the object's hits, else from its class.
func (r *Router) expectedSendTime(req *request) Micros {
	if r.sizeKnown(req) {
		return micros(req.SizeKB / r.locality.StreamKBPerSecond)
	}
	stats := r.objects.entries.Peek(req.objectKey)
	if stats != nil && stats.sendTime > 0 {
		return micros(stats.sendTime)
	}
	return micros(r.meanSendTime(req.Class))
}

func (r *Router) sizeKnown(req *request) bool {
	return r.locality.StreamKBPerSecond > 0 && req.SizeKB > 0
}

// meanSendTime returns a class's mean sending time in seconds, or its latency objective until one is known.
func (r *Router) meanSendTime(class ClassID) float64 {
	if r.classSendTimes[class] > 0 {
		return r.classSendTimes[class]
	}
	return seconds(r.classes[class].LatencyObjective)
}

// cost returns the load that a request puts on an endpoint: its class's mean sending time in seconds.
func (r *Router) cost(req *request) float64 {
	return math.Max(r.meanSendTime(req.Class), minSendTime)
}

// recordClaimedSize updates a class's mean sending time from the size that a client claims.
func (r *Router) recordClaimedSize(req *request) {
	if !r.sizeKnown(req) {
		return
	}
	longest := maxSendTimeObjectives * seconds(r.classes[req.Class].LatencyObjective)
	sendTime := math.Min(req.SizeKB/r.locality.StreamKBPerSecond, longest)
	smooth(&r.classSendTimes[req.Class], sendTime, smoothingFactor)
}

// recordSendTime updates sending times from answers that did not wait for a fill, if clients give no size.
// An object's sending time is that of its quickest hit, since any longer time is waiting; slower hits
// raise it slowly.
func (r *Router) recordSendTime(req *request, result *AttemptResult) {
	if r.sizeKnown(req) || result.Outcome != Succeeded || result.waitedForFill() || result.Delayed {
		return
	}
	sendTime := seconds(result.Elapsed)
	stats := r.objects.entries.Peek(req.objectKey)
	if stats != nil {
		smooth(&stats.sendTime, sendTime, slowerHitWeight)
		stats.sendTime = min(stats.sendTime, sendTime)
		sendTime = stats.sendTime
	}
	smooth(&r.classSendTimes[req.Class], sendTime, smoothingFactor)
}

// linkTransfers returns how many concurrent answers at full speed saturate the zone's link, or 0 if
// unknown.
func (r *Router) linkTransfers() float64 {
	zone := int(r.locality.Zone)
	if zone >= len(r.locality.LinkKBPerSecond) || r.locality.StreamKBPerSecond <= 0 {
		return 0
	}
	return r.locality.LinkKBPerSecond[zone] / r.locality.StreamKBPerSecond
}
