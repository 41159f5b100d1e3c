package routing

import "math"

const (
	maxSendTimeObjectives = 20.0  // longest sending time learned from a claimed size, in latency objectives
	sendTimeGain          = 0.05  // weight of a hit that took longer than the object's sending time
	smallestSendTime      = 0.001 // seconds, in costs
)

// expectedSendTime is what a request's answer takes to send: by its size, else by the object's hits, else
// by its class.
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

// meanSendTime is a class's mean sending time in seconds; its latency objective until one is known.
func (r *Router) meanSendTime(class ClassID) float64 {
	if r.classSendTimes[class] > 0 {
		return r.classSendTimes[class]
	}
	return seconds(r.classes[class].LatencyObjective)
}

// cost is what a request takes of an endpoint, in seconds: its class's mean sending time.
func (r *Router) cost(req *request) float64 {
	return math.Max(r.meanSendTime(req.Class), smallestSendTime)
}

// learnFromSize learns a class's sending time from a size that the client gives.
func (r *Router) learnFromSize(req *request) {
	if !r.sizeKnown(req) {
		return
	}
	longest := maxSendTimeObjectives * seconds(r.classes[req.Class].LatencyObjective)
	sendTime := math.Min(req.SizeKB/r.locality.StreamKBPerSecond, longest)
	smooth(&r.classSendTimes[req.Class], sendTime, smoothingFactor)
}

// learnSendTime learns sending times from what came without a fill, where clients give no size. An object's
// is the least that its hits took, which moves up slowly: what they take beyond it is waiting.
func (r *Router) learnSendTime(req *request, result *AttemptResult) {
	if r.sizeKnown(req) || result.Outcome != Succeeded || result.waitedForFill() {
		return
	}
	sendTime := seconds(result.Elapsed)
	stats := r.objects.entries.Peek(req.objectKey)
	if stats != nil {
		smooth(&stats.sendTime, sendTime, sendTimeGain)
		stats.sendTime = min(stats.sendTime, sendTime)
		sendTime = stats.sendTime
	}
	smooth(&r.classSendTimes[req.Class], sendTime, smoothingFactor)
}

// linkTransfers is how many answers at full speed fill the zone's link; 0 where that is unknown.
func (r *Router) linkTransfers() float64 {
	zone := int(r.locality.Zone)
	if zone >= len(r.locality.LinkKBPerSecond) || r.locality.StreamKBPerSecond <= 0 {
		return 0
	}
	return r.locality.LinkKBPerSecond[zone] / r.locality.StreamKBPerSecond
}
