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

// proxy passes requests and answers between clients and endpoints. It implements the interfaces through which the
// Router (routing.Executor), the front end, the attempts, the endpoint watch and background work call it. All its
// fields are guarded by the engine's lock; all its methods except run and turn must be called under that lock.
type proxy struct {
	engine     *transport.Engine
	runtime    transport.Runtime
	log        *logrus.Logger
	router     *routing.Router
	names      *deployment.Names
	pool       *attempts.Pool
	watch      *discovery.Watch
	frontend   *frontend.Server
	background *backgroundwork.Manager // nil: no background work is enabled
	requestLog *requestLog             // nil: disabled
	failpoints failpoints
	draining   bool // a shutdown has begun

	// Clocks: see clock.go.
	startedAt         time.Time      // on the runtime's monotonic clock
	startedAtWall     time.Time      // the same moment on the wall clock
	loggedClockOffset time.Duration  // by how much the wall clock was set since the start, as last logged
	now               routing.Micros // the Router's time as last set by setRouterTime

	// Requests and attempts: see requests.go, attempts.go and results.go.
	requests          []request                   // indexed by RequestID.Index
	arriving          request                     // passed to the Router, which has not accepted it yet
	openTraceIDs      map[frontend.HexID]struct{} // of all open requests
	recentIDs         recentIDs                   // trace ids that may not come again: see recentids.go
	results           []endedAttempt              // queued for the Router
	deliveredCount    int                         // number of results, from the first, that the Router has received
	abandonedRequests []routing.RequestID         // whose clients have left; to be reported to the Router

	// Endpoints: see endpoints.go.
	endpointIDs    map[string]routing.EndpointID // by name
	endpoints      []endpoint                    // indexed by id
	addressHolders map[string]routing.EndpointID // the endpoint at each address
	endpointUpdate []routing.Endpoint            // the last update, as passed to the Router

	// The timer loop: see loop.go.
	timers          timerQueue
	loop            transport.Loop // nil: run has not been called
	lastTick        time.Time
	nextTurnAt      routing.Micros // when the next turn is due; 0: not scheduled yet
	lastTurnEndedAt routing.Micros // when the last turn ended
	lastTurnDelay   routing.Micros // how late the last turn began; 0 if it counted as a stall
	stallNoticedAt  routing.Micros // when the last stall was noticed, just after its end; 0: never
	turnsHeldBack   int            // number of consecutive turns that ended in a grace period
}

// The interfaces that the proxy implements.
var (
	_ routing.Executor    = (*proxy)(nil)
	_ frontend.Handler    = (*proxy)(nil)
	_ attempts.Handler    = (*proxy)(nil)
	_ discovery.Handler   = (*proxy)(nil)
	_ backgroundwork.Host = (*proxy)(nil)
)

// newProxy returns a proxy without its components. The caller must call attach, then run.
func newProxy(engine *transport.Engine, log *logrus.Logger) *proxy {
	runtime := engine.Runtime()
	p := &proxy{
		engine:         engine,
		runtime:        runtime,
		log:            log,
		startedAt:      runtime.Now(),
		startedAtWall:  runtime.WallTime(),
		lastTick:       runtime.Now(),
		endpointIDs:    map[string]routing.EndpointID{},
		addressHolders: map[string]routing.EndpointID{},
		openTraceIDs:   map[frontend.HexID]struct{}{},
	}
	engine.AfterCallback = p.deliverResults
	return p
}

// attach sets the proxy's components, and the Router's initial time.
func (p *proxy) attach(router *routing.Router, names *deployment.Names, pool *attempts.Pool, watch *discovery.Watch,
	server *frontend.Server) {
	p.router = router
	p.names = names
	p.pool = pool
	p.watch = watch
	p.frontend = server
	p.setRouterTime()
}

// Ready implements frontend.Handler: it reports whether the router has an endpoint list and is not shutting down.
func (p *proxy) Ready() bool { return len(p.endpoints) > 0 && !p.draining }

// Class implements frontend.Handler: it returns the class with a name, or false if the settings do not name it.
func (p *proxy) Class(name []byte) (routing.ClassID, bool) { return p.names.Class(name) }

// Tenant implements frontend.Handler: it returns the tenant with a name, or routing.NoTenant if the settings do not
// name it.
func (p *proxy) Tenant(name []byte) routing.TenantID { return p.names.Tenant(name) }

// WatchEndpoints implements routing.Executor. It does nothing, because the endpoint list is always watched.
func (p *proxy) WatchEndpoints() {}

// Log implements routing.Executor: it writes the Router's log lines, marked with the component "routing".
func (p *proxy) Log(message string, attrs ...slog.Attr) {
	p.log.WithField("component", "routing").WithFields(logging.Fields(attrs)).Info(message)
}
