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

// Service is one router. All its methods but Run are called under the engine's lock.
type Service struct {
	engine *transport.Engine
	log    *logrus.Logger
	router *routing.Router
	names  *deployment.Names
	pool   *attempts.Pool
	watch  *discovery.Watch

	ground  transport.Runtime
	start   time.Time
	wall    time.Time     // at the start
	off     time.Duration // of the system's clock since, as logged last
	beat    time.Time     // the last one
	now     routing.Micros
	charges []request // by the visit's place
	arrived *request  // the visit that is arriving
	parked  request
	ends    []ended // told to the module at the end of the callback, never from within its own calls
	told    int     // of them
	alarms  alarms
	turns   transport.Loop              // the one timer
	armed   routing.Micros              // what it waits for
	behind  routing.Micros              // by so much its last call came late
	gone    []routing.RequestID         // whose clients were found to have gone; told to the module at the end of the callback
	marks   map[frontend.HexID]struct{} // of the visits in hand
	caches  map[string]routing.EndpointID
	listed  []cache // by CacheID
	list    []routing.Endpoint
	front   func(now time.Time)     // upkeep of the front
	upkeep  *backgroundwork.Manager // background work; nil: none
	trace   *trace                  // of each visit; nil: none
	leaving bool
	planted drains // see plant.go
}

const (
	beatEvery = 20 * time.Millisecond

	stallLeast = 25_000                 // microseconds without a turn, from which on a client may have left in what was not read
	setLeast   = 100 * time.Millisecond // a clock that is slewed moves less between two lines than is worth one
)

// New makes a service that is not yet running; Attach is to follow.
func New(e *transport.Engine, log *logrus.Logger) *Service {
	g := e.Runtime()
	s := &Service{engine: e, log: log, ground: g, start: g.Now(), wall: g.WallTime(), beat: g.Now(), caches: map[string]routing.EndpointID{}, marks: map[frontend.HexID]struct{}{}}
	e.AfterCallback = s.settle
	return s
}

// Attach gives the service its parts; front is the upkeep of its front.
func (s *Service) Attach(r *routing.Router, n *deployment.Names, y *attempts.Pool, p *discovery.Watch,
	front func(now time.Time)) {
	s.router, s.names, s.pool, s.watch, s.front = r, n, y, p, front
	s.enter()
}

// Ready tells whether clients may come: the first list is in, and the end is not near.
func (s *Service) Ready() bool { return len(s.listed) > 0 && !s.leaving }

// SetLeaving tells that the router is to end soon.
func (s *Service) SetLeaving() { s.leaving = true }

// Class finds a use case by its name.
func (s *Service) Class(name []byte) (routing.ClassID, bool) { return s.names.Class(name) }

// Tenant finds a tenant by its name.
func (s *Service) Tenant(name []byte) routing.TenantID { return s.names.Tenant(name) }

// WatchEndpoints has nothing to do: the bulletin is always followed.
func (s *Service) WatchEndpoints() {}

// LocateCopies has others asked who holds a copy.
func (s *Service) LocateCopies(v routing.RequestID) {
	if c := s.charge(v); c != nil && s.upkeep != nil {
		s.upkeep.Locate(objectKey(&c.ask))
	}
}

// objectKey is the object's part as the module and rows name it.
func objectKey(ask *frontend.Request) uint64 {
	return hash.Combine(hash.String(string(ask.Object[:])), uint64(ask.Part))
}

// SuggestRefresh passes a copy on that is worth renewing.
func (s *Service) SuggestRefresh(v routing.RequestID, until, gap routing.Micros) {
	c := s.charge(v)
	if c == nil || s.upkeep == nil {
		return
	}
	object, err := strconv.ParseUint(string(c.ask.Object[:]), 16, 64)
	if err == nil {
		s.upkeep.ConsiderRefresh(refresh.Copy{Class: int(c.ask.Class), Object: object, Part: c.ask.Part, Group: int(c.ask.Group),
			SizeKB: c.ask.SizeKB, FreshUntil: until, RequestGap: gap})
	}
}

// Log writes a log line of the router's decisions.
func (s *Service) Log(message string, fields ...routing.Field) {
	values := logrus.Fields{"component": "routing"}
	for _, f := range fields {
		values[f.Key] = f.Value
	}
	s.log.WithFields(values).Info(message)
}

// Router is the module, for background work; its clock is set.
func (s *Service) Router() *routing.Router {
	s.enter()
	return s.router
}

// PlanBackground tells where background work would go now.
func (s *Service) PlanBackground(ask *frontend.Request) (routing.ForwardPlan, bool) {
	return s.Router().PlanBackground(asked(ask))
}
