package cluster

// RequestCounts counts the requests that arrived, and those of them that were answered at all, within the latency
// objective, and by a hit.
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

// belowBaseline reports whether the share of requests on time, or that of hits, is below recoveredShare times the
// same share in the baseline.
func (c *RequestCounts) belowBaseline(baseline *RequestCounts) bool {
	return shareBelow(c.OnTime, c.Requests, baseline.OnTime, baseline.Requests) ||
		shareBelow(c.Hits, c.Requests, baseline.Hits, baseline.Requests)
}

// shareBelow reports whether count/total is below recoveredShare times baselineCount/baselineTotal. It multiplies
// instead of dividing, so that totals of 0 are allowed.
func shareBelow(count, total, baselineCount, baselineTotal int) bool {
	return float64(count)*float64(baselineTotal) < recoveredShare*float64(baselineCount)*float64(total)
}

const (
	// cohortSize is the number of routers in a cohort. The last cohort may be smaller.
	cohortSize = 20
	// minRequests is the number of requests of a cohort that are compared with the baseline. The shares of fewer
	// requests vary too much by chance.
	minRequests = 2500
)

// cohort is a group of routers that started one after the other, after the disruption. Their requests are compared
// with the baseline together, since one router has too few.
type cohort struct {
	routers    int
	thisSecond RequestCounts
	recent     []RequestCounts // the last seconds, oldest first: enough for about minRequests
	seconds    int             // since the first router of the cohort started
	lastBelow  int             // the last second in which recent was below the baseline; 0: none
}

// endSecond ends a second: it adds the counts of the second to the recent ones and compares these with the baseline.
// requestRate is the number of requests per second that arrive at each router.
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
