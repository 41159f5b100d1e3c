package soak

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/testserver"
	"threadrun/simulation/invariants"
)

// environment is the zone of the routers: caches whose answers can be delayed, and a discovery server for each
// router, which tells the polls of the routers apart.
type environment struct {
	*testserver.Zone
	recorder    *recorder
	machines    map[string]invariants.MachineID // of the caches, the parent and the origin, by name
	extraDelay  []atomic.Int64                  // of each cache, in nanoseconds
	lastNotice  atomic.Int64                    // number of the last notice of discovery (invariants.Event.Number)
	silentUntil atomic.Int64                    // until when discovery holds polls back, in Unix nanoseconds
	addresses   []string                        // of the discovery servers, by router number
	servers     []*http.Server
}

// newEnvironment starts the caches, the parent, the origin and the discovery servers. Files are created in dir.
func newEnvironment(dir string, routers int, r *recorder) (*environment, error) {
	e := &environment{recorder: r, machines: map[string]invariants.MachineID{}, extraDelay: make([]atomic.Int64, caches)}
	for i := range caches {
		e.machines["edge-"+strconv.Itoa(i)] = invariants.MachineID(i)
	}
	e.machines["parent"], e.machines["origin"] = caches, caches+1
	zone, err := testserver.NewZone(dir, caches, routers, 0, e.configureCache)
	if err != nil {
		return nil, err
	}
	e.Zone = zone
	e.recordNotice(invariants.Event{Kind: invariants.EndpointListed, Machine: invariants.NoMachine, Usable: true})
	for i := range routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: pollHandler{e, i}, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		e.servers = append(e.servers, server)
		e.addresses = append(e.addresses, l.Addr().String())
	}
	return e, nil
}

func (e *environment) close() {
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.Close()
}

// recordNotice numbers and records a notice of discovery. It must be called before the notice is announced:
// otherwise a router could poll for it before the checker knows of it.
func (e *environment) recordNotice(event invariants.Event) {
	event.Number = int(e.lastNotice.Add(1))
	e.recorder.observe(event)
}

// configureCache makes a cache, the parent or the origin record the attempts that it receives and their ends.
func (e *environment) configureCache(c *testserver.Cache) {
	id := e.machines[c.Name]
	c.ServiceTime = cacheServiceTime
	c.Observe = func(request *testserver.CacheRequest) func(*testserver.Reply) {
		source := invariants.NoMachine
		if m, known := e.machines[request.Fields["src"]]; known {
			source = m
		}
		attempt := e.recorder.attemptReceived(id, source, request)
		if int(id) < caches {
			time.Sleep(time.Duration(e.extraDelay[id].Load()))
		}
		return func(reply *testserver.Reply) { e.recorder.observe(e.attemptEnd(attempt, reply)) }
	}
}

// attemptEnd returns the event for the end of an attempt.
func (e *environment) attemptEnd(attempt invariants.AttemptID, reply *testserver.Reply) invariants.Event {
	end := invariants.Event{Kind: invariants.AttemptEnded, Attempt: attempt, Outcome: invariants.MayHaveRun}
	switch reply.Status {
	case "data", "unchanged":
		end.Outcome = invariants.Succeeded
		made, _ := strconv.ParseInt(testserver.Fields(reply.Fields)["made"], 10, 64)
		if made > 0 {
			end.EffectiveAt = max(e.recorder.fromUnixMillis(made), 1)
		}
	case "absent", "full":
		end.Outcome = invariants.NotRun
	}
	return end
}

// drain announces a cache as draining, and as up again after the span.
func (e *environment) drain(number int, span time.Duration) {
	name := e.CacheNames[number]
	id := e.machines[name]
	e.recordNotice(invariants.Event{Kind: invariants.EndpointListed, Machine: id})
	e.Discovery.AnnounceEndpoints(false, e.EndpointJSON(name, "draining", 0))
	time.AfterFunc(span, func() {
		e.recordNotice(invariants.Event{Kind: invariants.EndpointListed, Machine: id, Usable: true})
		e.Discovery.AnnounceEndpoints(false, e.EndpointJSON(name, "up", 0))
	})
}

// purge announces the purge of an object. The caches drop their copies later.
func (e *environment) purge(object int) {
	now := time.Now()
	e.recordNotice(invariants.Event{
		Kind: invariants.Purged, Object: uint64(object), EffectiveAt: e.recorder.fromUnixMillis(now.UnixMilli()),
	})
	e.Purge(objectName(object), now)
}

// pollHandler serves the polls of one router.
type pollHandler struct {
	environment *environment
	router      int
}

// ServeHTTP answers a poll. Its parameter "after" is the number of the last notice that the router has
// received, which is recorded. A poll before silentUntil gets an empty answer at that time.
func (h pollHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := h.environment
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || !strings.HasPrefix(r.URL.Path, "/bulletins") {
		e.recorder.addProblem("unexpected request at discovery: %s", r.URL)
		return
	}
	e.recorder.observe(invariants.Event{
		Kind: invariants.Notified, Router: invariants.RouterID(h.router), Number: after,
	})
	if until := time.Until(time.Unix(0, e.silentUntil.Load())); until > 0 {
		time.Sleep(until)
		return
	}
	e.Discovery.ServeHTTP(w, r)
}

// routerOf returns the router that a request was sent to: its number is in the trace id from bit routerShift on.
func routerOf(trace uint64) invariants.RouterID { return invariants.RouterID(trace >> routerShift) }

const routerShift = 48

// micros converts a duration to the unit of the checker.
func micros(d time.Duration) clock.Micros { return clock.FromDuration(d) }
