package simadapter

import (
	"github.com/valyala/fastjson"

	"threadrun/internal/deployment"
	"threadrun/internal/hash"
	"threadrun/routing"
)

// instance is one router instance and its Executor. It maps the simulator's names to the router's ids.
type instance struct {
	adapter       *Adapter
	router        *routing.Router
	names         *deployment.Names
	requestIDs    map[string]routing.RequestID // by the simulator's names of requests
	requestNames  []string                     // the simulator's names of requests, indexed by RequestID.Index
	arrivingName  string                       // the simulator's name of the request that is arriving
	endpointIDs   map[string]routing.EndpointID
	endpointNames []string // indexed by EndpointID
}

// newInstance creates an instance with the settings and the seed in an event.
func newInstance(a *Adapter, event *fastjson.Value) (*instance, error) {
	inst := &instance{
		adapter:     a,
		requestIDs:  map[string]routing.RequestID{},
		endpointIDs: map[string]routing.EndpointID{},
	}
	router, names, err := deployment.NewRouter(event.Get("info"), uint32(event.GetUint64("salt")), inst)
	if err != nil {
		return nil, err
	}
	inst.router = router
	inst.names = names
	return inst, nil
}

// handle handles an event of this instance. It ignores unknown events.
func (inst *instance) handle(op string, event *fastjson.Value) {
	switch op {
	case "directory_update":
		inst.updateEndpoints(event)
	case "accept":
		inst.requestArrived(event)
	case "closed_attempt":
		inst.attemptEnded(event)
	case "ack_first":
		inst.responseStarted(event)
	case "expired":
		inst.clientLeft(event)
	case "expired_now":
		inst.purged(event)
	case "timer":
		inst.router.TimerFired()
	}
}

const writeFlag = 1 << 2 // bit of an accept event's flags: the request is non-idempotent

// requestArrived passes a request to the router. Requests of unknown classes are ignored.
func (inst *instance) requestArrived(event *fastjson.Value) {
	inst.arrivingName = text(event, "txn")
	class, known := inst.names.Class(event.GetStringBytes("service"))
	if !known {
		return
	}
	inst.router.RequestArrived(routing.Request{
		Class:     class,
		Object:    routing.ObjectID(hash.String(text(event, "item"))),
		Part:      event.GetInt("range_no"),
		Group:     routing.GroupID(event.GetInt("tag")),
		Tenant:    inst.names.Tenant(event.GetStringBytes("owner")),
		Write:     event.GetInt("flags")&writeFlag != 0,
		Remaining: micros(event.GetFloat64("expires_in")),
		SizeKB:    event.GetFloat64("size_kb"),
	})
}

// requestOf returns the request to which an event belongs, or false if no such request is open.
func (inst *instance) requestOf(event *fastjson.Value) (routing.RequestID, bool) {
	id, known := inst.requestIDs[text(event, "txn")]
	return id, known
}

func (inst *instance) attemptEnded(event *fastjson.Value) {
	id, known := inst.requestOf(event)
	if !known {
		return
	}
	inst.router.AttemptEnded(id, routing.AttemptResult{
		Attempt:     routing.AttemptNumber(event.GetInt("trial")),
		Outcome:     outcomes[text(event, "reason")],
		CacheStatus: routing.CacheStatus(event.GetInt("info")),
		RequestDone: event.GetBool("done_flag"),
		Elapsed:     micros(event.GetFloat64("elapsed")),
	})
}

// outcomes maps the reasons in the simulator's events for ended attempts to outcomes.
var outcomes = map[string]routing.Outcome{
	"pass":       routing.Succeeded,
	"fault":      routing.Failed,
	"no_room":    routing.Rejected,
	"too_slow":   routing.TimedOut,
	"no_route":   routing.ConnectFailed,
	"cut":        routing.ConnectionLost,
	"undone":     routing.Canceled,
	"stale_send": routing.NotSent,
	"none_here":  routing.CacheMiss,
}

func (inst *instance) responseStarted(event *fastjson.Value) {
	id, known := inst.requestOf(event)
	if known {
		inst.router.ResponseStarted(id)
	}
}

func (inst *instance) clientLeft(event *fastjson.Value) {
	id, known := inst.requestOf(event)
	if known {
		inst.router.ClientLeft(id)
	}
}

// purged reports a purge of one object, or of a whole group if the event names no object.
func (inst *instance) purged(event *fastjson.Value) {
	group := routing.GroupID(event.GetInt("batch_id"))
	age := micros(event.GetFloat64("age_span"))
	if !event.Exists("item") {
		inst.router.Purged(0, group, true, age)
		return
	}
	object := routing.ObjectID(hash.String(text(event, "item")))
	inst.router.Purged(object, group, false, age)
}
