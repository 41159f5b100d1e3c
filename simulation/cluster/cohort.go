package cluster

// RequestCounts counts requests.
type RequestCounts struct{ Requests, OnTime, Hits, Answered int }

func (c *RequestCounts) add(o RequestCounts) {
	c.Requests += o.Requests
	c.OnTime += o.OnTime
	c.Hits += o.Hits
	c.Answered += o.Answered
}

// OnTimeShare is the share of requests answered within the latency objective.
func (c *RequestCounts) OnTimeShare() float64 { return float64(c.OnTime) / float64(max(c.Requests, 1)) }

// HitShare is the share of requests answered by a hit.
func (c *RequestCounts) HitShare() float64 { return float64(c.Hits) / float64(max(c.Requests, 1)) }

// belowBaseline reports whether the shares of requests on time or of hits are below recoveredShare of the baseline's.
func (c *RequestCounts) belowBaseline(baseline *RequestCounts) bool {
	return shareBelow(c.OnTime, c.Requests, baseline.OnTime, baseline.Requests) ||
		shareBelow(c.Hits, c.Requests, baseline.Hits, baseline.Requests)
}

func shareBelow(n, of, baseline, baselineOf int) bool {
	return float64(n)*float64(baselineOf) < recoveredShare*float64(baseline)*float64(of)
}

const (
	minCohort = 20 // routers
	// minRequests are needed for a comparison: the shares of fewer requests vary too much by chance.
	minRequests = 2500
)

// cohort is a group of routers that started at about the same time. One router has too few requests to compare.
type cohort struct {
	routers    int
	thisSecond RequestCounts
	recent     []RequestCounts // by second; together at least minRequests
	seconds    int
	lastBelow  int // the last second that was below the baseline
}

// endSecond closes the counts of a second. requestRate is each router's, in requests a second.
func (g *cohort) endSecond(baseline *RequestCounts, requestRate int) {
	g.seconds++
	g.recent = append(g.recent, g.thisSecond)
	for len(g.recent) > 1+minRequests/(g.routers*requestRate) {
		g.recent = g.recent[1:]
	}
	g.thisSecond = RequestCounts{}
	var sum RequestCounts
	for _, counts := range g.recent {
		sum.add(counts)
	}
	if sum.belowBaseline(baseline) {
		g.lastBelow = g.seconds
	}
}
