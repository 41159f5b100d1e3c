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

// proxy carries requests between clients and endpoints. It implements the interfaces through which the router
// (routing.Executor), the front end, the attempts, the endpoint watch and background work call it. All its fields
// are guarded by the engine's lock; all its methods except run and turn must be called under that lock.
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
	draining   bool

	// Clocks: see clock.go.
	startedAt         time.Time // on the runtime's monotonic clock
	startedAtWall     time.Time
	loggedClockOffset time.Duration
	now               routing.Micros // the router's time during the current call

	// Requests and attempts: see requests.go, attempts.go and results.go.
	requests     []request // indexed by RequestID.Index
	arriving     request   // the request between StartRequest and Accepted
	openTraceIDs map[frontend.HexID]struct{}
	results      []endedAttempt
	delivered    int // number of results delivered to the router
	clientsLeft  []routing.RequestID

	// Endpoints: see endpoints.go.
	endpointIDs    map[string]routing.EndpointID // by name
	endpoints      []endpoint                    // indexed by id
	endpointUpdate []routing.Endpoint            // the last update in the router's representation

	// The timer loop: see loop.go.
	timers       timerHeap
	loop         transport.Loop
	lastTick     time.Time
	nextTurn     routing.Micros // when the loop is due
	turnEnded    routing.Micros // when its last turn ended
	turnDelay    routing.Micros // how late the last turn was, unless that was a stall
	stallNoticed routing.Micros // when the last stall was noticed
}

// The interfaces that the proxy implements.
var (
	_ routing.Executor    = (*proxy)(nil)
	_ frontend.Handler    = (*proxy)(nil)
	_ attempts.Handler    = (*proxy)(nil)
	_ discovery.Handler   = (*proxy)(nil)
	_ backgroundwork.Host = (*proxy)(nil)
)

// newProxy returns a proxy without its parts. The caller must call attach, then run.
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

// attach sets the proxy's parts.
func (p *proxy) attach(router *routing.Router, names *deployment.Names, pool *attempts.Pool, watch *discovery.Watch,
	clients *frontend.Server) {
	p.router = router
	p.names = names
	p.pool = pool
	p.watch = watch
	p.frontend = clients
	p.setRouterTime()
}

// Ready reports whether the router accepts clients: it has an endpoint list and is not shutting down.
func (p *proxy) Ready() bool { return len(p.endpoints) > 0 && !p.draining }

// Class returns the class with a name.
func (p *proxy) Class(name []byte) (routing.ClassID, bool) { return p.names.Class(name) }

// Tenant returns the tenant with a name, or routing.NoTenant if the settings do not name it.
func (p *proxy) Tenant(name []byte) routing.TenantID { return p.names.Tenant(name) }

// WatchEndpoints implements routing.Executor. It has nothing to do, since the endpoint list is always watched.
func (p *proxy) WatchEndpoints() {}

// Log implements routing.Executor.
func (p *proxy) Log(message string, attrs ...slog.Attr) {
	p.log.WithField("component", "routing").WithFields(logging.Fields(attrs)).Info(message)
}
