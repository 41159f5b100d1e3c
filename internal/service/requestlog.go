package service

import (
	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/deployment"
	"threadrun/routing"
)

// requestLog logs each step of each request. It is enabled by the operator's file; a nil requestLog logs nothing.
type requestLog struct {
	log   *logrus.Logger
	names *deployment.Names
}

// write logs one step of a request with the request's trace id and the time since its arrival.
func (l *requestLog) write(r *request, at routing.Micros, message string, fields logrus.Fields) {
	fields["id"] = string(r.params.TraceID[:])
	fields["after_us"] = int64(at - r.arrivedAt)
	l.log.WithFields(fields).Info(message)
}

// arrived logs the arrival of a request. The logged latency objective includes the time to send the answer, if the
// settings contain the rate at which answers are sent.
func (l *requestLog) arrived(r *request, at routing.Micros) {
	if l == nil {
		return
	}
	class := &l.names.Classes[r.params.Class]
	objective := class.LatencyObjective
	if l.names.StreamKBPerSecond > 0 {
		objective += routing.Micros(class.SendTimeFactor * r.params.SizeKB / l.names.StreamKBPerSecond * 1e6)
	}
	l.write(r, at, "request arrived", logrus.Fields{
		"class":                l.names.ClassNames[r.params.Class],
		"priority_weight":      class.PriorityWeight,
		"late_weight":          class.LateWeight,
		"latency_objective_us": int64(objective),
		"timeout_us":           int64(r.params.Timeout),
		"unread_us":            int64(r.params.UnreadFor),
		"size_kb":              r.params.SizeKB,
		"object":               string(r.params.Object[:]),
		"part":                 r.params.Part,
	})
}

func (l *requestLog) forwarded(r *request, number routing.AttemptNumber, plan *routing.ForwardPlan, at routing.Micros) {
	if l == nil {
		return
	}
	l.write(r, at, "request forwarded", logrus.Fields{
		"attempt":        int(number),
		"endpoint":       int(plan.Cache),
		"source":         int(plan.Source),
		"rank":           plan.Rank,
		"only_if_cached": plan.OnlyIfCached,
		"budget_us":      int64(plan.Deadline - at),
	})
}

func (l *requestLog) attemptEnded(r *request, a *attempt, outcome routing.Outcome, status routing.CacheStatus,
	result *attempts.Result, at routing.Micros) {
	if l == nil {
		return
	}
	fields := logrus.Fields{
		"attempt":      int(a.number),
		"endpoint":     int(a.endpoint),
		"outcome":      outcome.String(),
		"cache_status": status.String(),
		"elapsed_us":   int64(at - a.startedAt),
	}
	if result != nil && result.Err != nil {
		fields["error"] = result.Err.Error()
	}
	l.write(r, at, "request attempt ended", fields)
}

// finished logs the end of a request, once: an attempt may still be answered after the request's client has left.
func (l *requestLog) finished(r *request, outcome string, at routing.Micros) {
	if l == nil || r.finishLogged {
		return
	}
	r.finishLogged = true
	l.write(r, at, "request finished", logrus.Fields{"outcome": outcome, "attempts": len(r.attempts)})
}
