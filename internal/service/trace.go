package service

import (
	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/deployment"
	"threadrun/routing"
)

// requestLog prints what becomes of each visit, for a play whose losses are to be taken apart. It is off unless the operator's
// file switches it on, and costs one look at a nil then.
type requestLog struct {
	log   *logrus.Logger
	names *deployment.Names
}

func (t *requestLog) write(c *request, at routing.Micros, what string, f logrus.Fields) {
	f["id"], f["after_us"] = string(c.params.TraceID[:]), int64(at-c.arrivedAt)
	t.log.WithFields(f).Info("visit " + what)
}

func (t *requestLog) arrived(c *request, at routing.Micros) {
	if t == nil {
		return
	}
	use := &t.names.Classes[c.params.Class]
	aim := use.LatencyObjective
	if t.names.StreamKBPerSecond > 0 {
		aim += routing.Micros(use.SendTimeFactor * c.params.SizeKB / t.names.StreamKBPerSecond * 1e6)
	}
	t.write(c, at, "came", logrus.Fields{"case": t.names.ClassNames[c.params.Class], "worth": use.PriorityWeight,
		"late_worth": use.LateWeight, "aim_us": int64(aim), "left_us": int64(c.params.Timeout), "kb": c.params.SizeKB,
		"object": string(c.params.Object[:]), "part": c.params.Part})
}

func (t *requestLog) forwarded(c *request, n routing.AttemptNumber, e *routing.ForwardPlan, at routing.Micros) {
	if t == nil {
		return
	}
	t.write(c, at, "sent", logrus.Fields{"trip": int(n), "cache": int(e.Cache), "source": int(e.Source),
		"rank": e.Rank, "held": e.OnlyIfCached, "limit_us": int64(e.Deadline - at)})
}

func (t *requestLog) attemptEnded(c *request, o *attempt, end routing.Outcome, shown routing.CacheStatus, e *attempts.Result, at routing.Micros) {
	if t == nil {
		return
	}
	f := logrus.Fields{"trip": int(o.number), "cache": int(o.endpoint), "ending": end.String(), "trace": shown.String(),
		"took_us": int64(at - o.sentAt)}
	if e != nil && e.Err != nil {
		f["error"] = e.Err.Error()
	}
	t.write(c, at, "trip ended", f)
}

func (t *requestLog) answered(c *request, word string, at routing.Micros) {
	if t == nil {
		return
	}
	t.write(c, at, "answered", logrus.Fields{"answer": word, "trips": len(c.attempts)})
}
