// Package service runs the decision module on sockets: it keeps the bytes of visits, carries out the module's
// errands, holds trips to their time limits and tells the module how they ended. It decides nothing.
package service

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/background/refresh"
	"threadrun/internal/attempts"
	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/discovery"
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// proxy is one router. All its methods but Run are called under the engine's lock.
type proxy struct {
	engine *transport.Engine
	log    *logrus.Logger
	router *routing.Router
	names  *deployment.Names
	pool   *attempts.Pool
	watch  *discovery.Watch

	runtime           transport.Runtime
	startedAt         time.Time
	startedAtWall     time.Time     // at the start
	loggedClockOffset time.Duration // of the system's clock since, as logged last
	lastTick          time.Time     // the last one
	now               routing.Micros
	requests          []request // by the visit's place
	arrived           *request  // the visit that is arriving
	arriving          request
	results           []endedAttempt // told to the module at the end of the callback, never from within its own calls
	delivered         int            // of them
	timers            timerHeap
	loop              transport.Loop              // the one timer
	nextTurn          routing.Micros              // what it waits for
	turnDelay         routing.Micros              // by so much its last call came late
	clientsLeft       []routing.RequestID         // whose clients were found to have gone; told to the module at the end of the callback
	openTraceIDs      map[frontend.HexID]struct{} // of the visits in hand
	endpointIDs       map[string]routing.EndpointID
	endpoints         []endpoint // by CacheID
	endpointUpdate    []routing.Endpoint
	tickFrontend      func(now time.Time)     // upkeep of the front
	background        *backgroundwork.Manager // background work; nil: none
	requestLog        *requestLog             // of each visit; nil: none
	draining          bool
	failpoints        drains // see plant.go
}

const (
	tickInterval = 20 * time.Millisecond

	stallThreshold     = 25_000                 // microseconds without a turn, from which on a client may have left in what was not read
	clockStepThreshold = 100 * time.Millisecond // a clock that is slewed moves less between two lines than is worth one
)

// newProxy makes a service that is not yet running; Attach is to follow.
func newProxy(e *transport.Engine, log *logrus.Logger) *proxy {
	g := e.Runtime()
	s := &proxy{engine: e, log: log, runtime: g, startedAt: g.Now(), startedAtWall: g.WallTime(), lastTick: g.Now(), endpointIDs: map[string]routing.EndpointID{}, openTraceIDs: map[frontend.HexID]struct{}{}}
	e.AfterCallback = s.deliverResults
	return s
}

// attach gives the service its parts; front is the upkeep of its front.
func (s *proxy) attach(r *routing.Router, n *deployment.Names, y *attempts.Pool, p *discovery.Watch,
	front func(now time.Time)) {
	s.router, s.names, s.pool, s.watch, s.tickFrontend = r, n, y, p, front
	s.setRouterTime()
}

// Ready tells whether clients may come: the first list is in, and the end is not near.
func (s *proxy) Ready() bool { return len(s.endpoints) > 0 && !s.draining }

// beginDraining tells that the router is to end soon.
func (s *proxy) beginDraining() { s.draining = true }

// Class finds a use case by its name.
func (s *proxy) Class(name []byte) (routing.ClassID, bool) { return s.names.Class(name) }

// Tenant finds a tenant by its name.
func (s *proxy) Tenant(name []byte) routing.TenantID { return s.names.Tenant(name) }

// WatchEndpoints has nothing to do: the bulletin is always followed.
func (s *proxy) WatchEndpoints() {}

// LocateCopies has others asked who holds a copy.
func (s *proxy) LocateCopies(v routing.RequestID) {
	if c := s.request(v); c != nil && s.background != nil {
		s.background.Locate(objectKey(&c.params))
	}
}

// objectKey is the object's part as the module and rows name it.
func objectKey(ask *frontend.Request) uint64 {
	return hash.Combine(hash.String(string(ask.Object[:])), uint64(ask.Part))
}

// SuggestRefresh passes a copy on that is worth renewing.
func (s *proxy) SuggestRefresh(v routing.RequestID, until, gap routing.Micros) {
	c := s.request(v)
	if c == nil || s.background == nil {
		return
	}
	object, err := strconv.ParseUint(string(c.params.Object[:]), 16, 64)
	if err == nil {
		s.background.ConsiderRefresh(refresh.Copy{Class: int(c.params.Class), Object: object, Part: c.params.Part, Group: int(c.params.Group),
			SizeKB: c.params.SizeKB, FreshUntil: until, RequestGap: gap})
	}
}

// Log logs a change of mode.
func (s *proxy) Log(line string) { s.log.Info("decide: " + line) }

// Router is the module, for background work; its clock is set.
func (s *proxy) Router() *routing.Router {
	s.setRouterTime()
	return s.router
}

// PlanBackground tells where background work would go now.
func (s *proxy) PlanBackground(ask *frontend.Request) (routing.ForwardPlan, bool) {
	return s.Router().PlanBackground(routingRequest(ask))
}
