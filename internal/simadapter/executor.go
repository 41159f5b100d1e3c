package simadapter

import (
	"fmt"
	"log/slog"

	"threadrun/routing"
)

// Bits of a get action's switches.
const (
	switchJoinFill             = 1 << 0
	switchOnlyIfCached         = 1 << 1
	switchStaleWhileRevalidate = 1 << 3
)

// begin begins an action on a request. The caller must end it.
func (inst *instance) begin(op string, id routing.RequestID) *encoder {
	answer := &inst.adapter.answer
	answer.begin(op)
	answer.stringField("txn", inst.requestNames[id.Index()])
	return answer
}

// IDAssigned maps the simulator's name of the arriving request to the id that the router has assigned, and vice versa.
func (inst *instance) IDAssigned(id routing.RequestID) {
	for len(inst.requestNames) <= id.Index() {
		inst.requestNames = append(inst.requestNames, "")
	}
	inst.requestNames[id.Index()] = inst.arrivingName
	inst.requestIDs[inst.arrivingName] = id
}

// Forward encodes an attempt: the cache, the source for a fill, and the options of the plan.
func (inst *instance) Forward(id routing.RequestID, plan routing.ForwardPlan) {
	answer := inst.begin("get", id)
	answer.stringField("server", inst.endpointNames[plan.Cache])
	answer.stringField("miss_from", inst.endpointNames[plan.Source])
	answer.millisField("until", plan.Deadline)
	answer.intField("rank", plan.Rank)
	if plan.MaxAge > 0 {
		answer.millisField("age_span", plan.MaxAge)
	}
	answer.intField("switches", switches(plan))
	answer.end()
}

// switches returns the bits for the options of a plan.
func switches(plan routing.ForwardPlan) int {
	bits := 0
	if plan.JoinFill {
		bits |= switchJoinFill
	}
	if plan.OnlyIfCached {
		bits |= switchOnlyIfCached
	}
	if plan.StaleWhileRevalidate {
		bits |= switchStaleWhileRevalidate
	}
	return bits
}

// Reject encodes a rejection, with the time after which the client may retry if retryAfter is not 0.
func (inst *instance) Reject(id routing.RequestID, retryAfter routing.Micros) {
	answer := inst.begin("decline", id)
	if retryAfter > 0 {
		answer.millisField("wait", retryAfter)
	}
	answer.end()
}

// Fail encodes the failure of a request.
func (inst *instance) Fail(id routing.RequestID) { inst.begin("report_failure", id).end() }

// Release removes the mapping between a request's id and the simulator's name of it.
func (inst *instance) Release(id routing.RequestID) {
	delete(inst.requestIDs, inst.requestNames[id.Index()])
	inst.requestNames[id.Index()] = ""
}

// SetTimer encodes the time at which the simulator must send the event timer.
func (inst *instance) SetTimer(at routing.Micros) {
	answer := &inst.adapter.answer
	answer.begin("sleep")
	answer.millisField("instant", at)
	answer.stringField("ctx", "wake")
	answer.end()
}

// WatchEndpoints encodes a subscription to the endpoint list.
func (inst *instance) WatchEndpoints() {
	answer := &inst.adapter.answer
	answer.begin("observe")
	answer.boolField("enable", true)
	answer.end()
}

// LocateCopies does nothing, because instances in the simulator cannot query other routers.
func (inst *instance) LocateCopies(routing.RequestID) {}

// SuggestRefresh does nothing, because instances in the simulator run no background work.
func (inst *instance) SuggestRefresh(routing.RequestID, routing.Micros, routing.Micros) {}

// Log encodes a log line with its fields as key=value.
func (inst *instance) Log(message string, attrs ...slog.Attr) {
	line := []byte(message)
	for _, attr := range attrs {
		line = fmt.Appendf(line, " %s=%v", attr.Key, attr.Value)
	}
	answer := &inst.adapter.answer
	answer.begin("journal_line")
	answer.stringField("message", string(line))
	answer.end()
}
