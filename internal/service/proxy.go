package service

import (
	"log/slog"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/attempts"
	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/discovery"
	"threadrun/internal/frontend"
	"threadrun/internal/logging"
	"threadrun/internal/transport"
	"threadrun/routing"
)

// proxy carries requests between clients and endpoints. It implements the ports of the router (routing.Executor), the
// front end, the attempts, the endpoint watch and background work. All its methods but run are called under the
// engine's lock.
type proxy struct {
	engine       *transport.Engine
	runtime      transport.Runtime
	log          *logrus.Logger
	router       *routing.Router
	names        *deployment.Names
	pool         *attempts.Pool
	watch        *discovery.Watch
	tickFrontend func(now time.Time)
	background   *backgroundwork.Manager // nil: none is switched on
	requestLog   *requestLog             // nil: off
	failpoints   failpoints
	draining     bool

	// Clocks: see clock.go.
	startedAt         time.Time // on the runtime's monotonic clock
	startedAtWall     time.Time
	loggedClockOffset time.Duration
	now               routing.Micros // the router's time in the present call

	// Requests and attempts: see requests.go, attempts.go and results.go.
	requests     []request // by the index of their ids
	arriving     request   // between Arrive and Accepted
	openTraceIDs map[frontend.HexID]struct{}
	results      []endedAttempt
	delivered    int // of results
	clientsLeft  []routing.RequestID

	// Endpoints: see endpoints.go.
	endpointIDs    map[string]routing.EndpointID // by name
	endpoints      []endpoint                    // by id
	endpointUpdate []routing.Endpoint            // the last update as the router got it

	// The timer loop: see loop.go.
	timers    timerHeap
	loop      transport.Loop
	lastTick  time.Time
	nextTurn  routing.Micros // when the loop is due
	turnDelay routing.Micros // between when the last turn was due and when it came
}

// The ports that the proxy implements.
var (
	_ routing.Executor    = (*proxy)(nil)
	_ frontend.Handler    = (*proxy)(nil)
	_ attempts.Handler    = (*proxy)(nil)
	_ discovery.Handler   = (*proxy)(nil)
	_ backgroundwork.Host = (*proxy)(nil)
)

// newProxy makes a proxy without its parts; attach is to follow, then run.
func newProxy(engine *transport.Engine, log *logrus.Logger) *proxy {
	runtime := engine.Runtime()
	p := &proxy{
		engine:        engine,
		runtime:       runtime,
		log:           log,
		startedAt:     runtime.Now(),
		startedAtWall: runtime.WallTime(),
		lastTick:      runtime.Now(),
		endpointIDs:   map[string]routing.EndpointID{},
		openTraceIDs:  map[frontend.HexID]struct{}{},
	}
	engine.AfterCallback = p.deliverResults
	return p
}

// attach gives the proxy its parts; tickFrontend is the front end's Tick.
func (p *proxy) attach(router *routing.Router, names *deployment.Names, pool *attempts.Pool, watch *discovery.Watch,
	tickFrontend func(now time.Time)) {
	p.router = router
	p.names = names
	p.pool = pool
	p.watch = watch
	p.tickFrontend = tickFrontend
	p.setRouterTime()
}

// Ready reports whether clients may connect: the endpoint list is in, and the router is not draining.
func (p *proxy) Ready() bool { return len(p.endpoints) > 0 && !p.draining }

// Class finds a class by its name.
func (p *proxy) Class(name []byte) (routing.ClassID, bool) { return p.names.Class(name) }

// Tenant finds a tenant by its name; routing.NoTenant stands for one that the settings do not name.
func (p *proxy) Tenant(name []byte) routing.TenantID { return p.names.Tenant(name) }

// WatchEndpoints has nothing to do: the endpoint list is always watched.
func (p *proxy) WatchEndpoints() {}

// Log logs a change of the router's mode.
func (p *proxy) Log(message string, attrs ...slog.Attr) {
	p.log.WithField("component", "routing").WithFields(logging.Fields(attrs)).Info(message)
}
