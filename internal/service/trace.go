package service

import (
	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/deployment"
	"threadrun/routing"
)

// trace prints what becomes of each visit, for a play whose losses are to be taken apart. It is off unless the operator's
// file switches it on, and costs one look at a nil then.
type trace struct {
	log   *logrus.Logger
	names *deployment.Names
}

func (t *trace) line(c *request, at routing.Micros, what string, f logrus.Fields) {
	f["id"], f["after_us"] = string(c.ask.TraceID[:]), int64(at-c.came)
	t.log.WithFields(f).Info("visit " + what)
}

func (t *trace) came(c *request, at routing.Micros) {
	if t == nil {
		return
	}
	use := &t.names.Classes[c.ask.Class]
	aim := use.LatencyObjective
	if t.names.StreamKBPerSecond > 0 {
		aim += routing.Micros(use.SendTimeFactor * c.ask.SizeKB / t.names.StreamKBPerSecond * 1e6)
	}
	t.line(c, at, "came", logrus.Fields{"case": t.names.ClassNames[c.ask.Class], "worth": use.PriorityWeight,
		"late_worth": use.LateWeight, "aim_us": int64(aim), "left_us": int64(c.ask.Timeout), "kb": c.ask.SizeKB,
		"object": string(c.ask.Object[:]), "part": c.ask.Part})
}

func (t *trace) sent(c *request, n routing.AttemptNumber, e *routing.ForwardPlan, at routing.Micros) {
	if t == nil {
		return
	}
	t.line(c, at, "sent", logrus.Fields{"trip": int(n), "cache": int(e.Cache), "source": int(e.Source),
		"rank": e.Rank, "held": e.OnlyIfCached, "limit_us": int64(e.Deadline - at)})
}

func (t *trace) ended(c *request, o *attempt, end routing.Outcome, shown routing.CacheStatus, e *attempts.Result, at routing.Micros) {
	if t == nil {
		return
	}
	f := logrus.Fields{"trip": int(o.trip), "cache": int(o.cache), "ending": end.String(), "trace": shown.String(),
		"took_us": int64(at - o.sent)}
	if e != nil && e.Err != nil {
		f["error"] = e.Err.Error()
	}
	t.line(c, at, "trip ended", f)
}

func (t *trace) answer(c *request, word string, at routing.Micros) {
	if t == nil {
		return
	}
	t.line(c, at, "answered", logrus.Fields{"answer": word, "trips": len(c.out)})
}
