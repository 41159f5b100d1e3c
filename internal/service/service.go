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

	ground  transport.Ground
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
	turns   transport.Turns               // the one timer
	armed   routing.Micros                // what it waits for
	behind  routing.Micros                // by so much its last call came late
	gone    []routing.VisitID             // whose clients were found to have gone; told to the module at the end of the callback
	marks   map[frontend.TraceID]struct{} // of the visits in hand
	caches  map[string]routing.CacheID
	listed  []cache // by CacheID
	list    []routing.Listed
	front   func(now time.Time)    // upkeep of the front
	upkeep  *backgroundwork.Upkeep // background work; nil: none
	trace   *trace                 // of each visit; nil: none
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
	g := e.Ground()
	s := &Service{engine: e, log: log, ground: g, start: g.Now(), wall: g.Wall(), beat: g.Now(), caches: map[string]routing.CacheID{}, marks: map[frontend.TraceID]struct{}{}}
	e.After = s.settle
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

// UseCase finds a use case by its name.
func (s *Service) UseCase(name []byte) (routing.UseCaseID, bool) { return s.names.UseCase(name) }

// Tenant finds a tenant by its name.
func (s *Service) Tenant(name []byte) routing.TenantID { return s.names.Tenant(name) }

// Follow has nothing to do: the bulletin is always followed.
func (s *Service) Follow() {}

// Seek has others asked who holds a copy.
func (s *Service) Seek(v routing.VisitID) {
	if c := s.charge(v); c != nil && s.upkeep != nil {
		s.upkeep.Seek(objectKey(&c.ask))
	}
}

// objectKey is the object's part as the module and rows name it.
func objectKey(ask *frontend.Request) uint64 {
	return hash.Pair(hash.Name(string(ask.Object[:])), uint64(ask.Part))
}

// Ageing passes a copy on that is worth renewing.
func (s *Service) Ageing(v routing.VisitID, until, gap routing.Micros) {
	c := s.charge(v)
	if c == nil || s.upkeep == nil {
		return
	}
	object, err := strconv.ParseUint(string(c.ask.Object[:]), 16, 64)
	if err == nil {
		s.upkeep.Saw(refresh.Copy{UseCase: int(c.ask.Case), Object: object, Part: c.ask.Part, Group: int(c.ask.Group),
			KB: c.ask.KB, Until: until, Gap: gap})
	}
}

// Note logs a change of mode.
func (s *Service) Note(line string) { s.log.Info("decide: " + line) }

// Router is the module, for background work; its clock is set.
func (s *Service) Router() *routing.Router {
	s.enter()
	return s.router
}

// Way tells where background work would go now.
func (s *Service) Way(ask *frontend.Request) (routing.Errand, bool) {
	return s.Router().Way(asked(ask))
}
