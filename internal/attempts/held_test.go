package attempts

import (
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
	"threadrun/routing"
	"threadrun/simulation/network"
)

// listener is a cache that notes what it reads.
type listener struct {
	got    strings.Builder
	closed int
}

func (l *listener) Data(b []byte) error {
	l.got.Write(b)
	return nil
}

func (l *listener) Closed(error) { l.closed++ }

// lateWorld is a pool before one cache, whose connections come up 200 ms late.
type lateWorld struct {
	world  *network.World
	engine *transport.Engine
	pool   *Pool
	ends   host
	cache  *listener
}

const (
	cacheAddress = "10.0.0.2:80"
	comesUp      = 200 * clock.Millisecond
)

func newLateWorld() *lateWorld {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := network.New(1)
	router, cache := w.Host("router", netip.MustParseAddr("10.0.0.1")), w.Host("cache", netip.MustParseAddr("10.0.0.2"))
	w.Way(router, cache).Opens = comesUp
	x := &lateWorld{world: w, engine: transport.NewWithRuntime(router.Start(), log), ends: host{}, cache: &listener{}}
	x.pool = New(x.engine, log, x.ends, 4, 1, 8, time.Second, time.Minute, time.Minute)
	far := transport.NewWithRuntime(cache.Start(), log)
	far.SetMaxAccepted(8)
	_ = far.Listen(cacheAddress, func(*transport.Conn) transport.Handler { return x.cache })
	x.engine.Do(func() { x.pool.SetAddress(0, cacheAddress, false) })
	return x
}

// at is the ticket of a test's attempt by number.
func (t AttemptID) at(no byte) AttemptID {
	t.Attempt = routing.AttemptNumber(no)
	return t
}

// A request is held back until its connection stands, and goes out with what is left of its budget then.
func TestBudgetIsWhatIsLeftWhenTheConnectionStands(t *testing.T) {
	x := newLateWorld()
	x.engine.Do(func() {
		get, body := request(1, 0)
		x.pool.Send(AttemptID{Attempt: 1}, 0, get, body)
		if x.pool.Queued() != 1 {
			t.Errorf("%d held back", x.pool.Queued())
		}
	})
	x.world.Run(300 * clock.Millisecond)
	if got := x.cache.got.String(); !strings.Contains(got, "budget=79") {
		t.Errorf("the cache read %q", got)
	}
	x.engine.Do(func() {
		if x.pool.Queued() != 0 || x.pool.Withdraw(AttemptID{Attempt: 1}, 0) {
			t.Error("what has gone out is held or recalled still")
		}
	})
}

// A request whose time is up before its connection stands never goes out.
func TestTimeUpBeforeTheConnectionStands(t *testing.T) {
	x := newLateWorld()
	x.engine.Do(func() {
		get, body := request(1, 0)
		get.Budget = 150_000
		x.pool.Send(AttemptID{Attempt: 1}, 0, get, body)
	})
	x.world.Run(300 * clock.Millisecond)
	x.engine.Do(func() {
		if reach := x.pool.Cancel(AttemptID{Attempt: 1}, 0); reach != NotSent {
			t.Errorf("it came as far as %s", reaches[reach])
		}
	})
	if x.world.Run(400 * clock.Millisecond); x.cache.got.Len() > 0 {
		t.Errorf("the cache read %q", x.cache.got.String())
	}
}

// What is recalled never goes out, and what waits behind it does.
func TestRecalledWhileConnecting(t *testing.T) {
	x := newLateWorld()
	x.engine.Do(func() {
		for no := byte(1); no <= 2; no++ {
			get, body := request(no, 5)
			x.pool.Send(AttemptID{}.at(no), 0, get, body)
		}
		if !x.pool.Withdraw(AttemptID{}.at(1), 0) || x.pool.Withdraw(AttemptID{}.at(1), 0) {
			t.Error("it can be recalled once")
		}
	})
	x.world.Run(300 * clock.Millisecond)
	first, second := id(1), id(2)
	if got := x.cache.got.String(); strings.Contains(got, string(first[:])) || strings.Count(got, string(second[:])) != 1 {
		t.Errorf("the cache read %q", got)
	}
	if len(x.ends) > 0 {
		t.Errorf("told of %v", x.ends)
	}
}

// A connection that nobody waits for any more is given up before it stands.
func TestConnectOfNoUse(t *testing.T) {
	x := newLateWorld()
	x.engine.Do(func() {
		get, body := request(1, 0)
		x.pool.Send(AttemptID{}.at(1), 0, get, body)
		if !x.pool.Withdraw(AttemptID{}.at(1), 0) || x.pool.Connections() != 0 || x.pool.Queued() != 0 {
			t.Errorf("%d connections, %d held", x.pool.Connections(), x.pool.Queued())
		}
	})
	if x.world.Run(400 * clock.Millisecond); x.cache.got.Len() > 0 {
		t.Errorf("the cache read %q", x.cache.got.String())
	}
}

// A cache that goes or starts anew while requests wait for a connection to it: they are told never to have run.
func TestRetiredWhileConnecting(t *testing.T) {
	for name, news := range map[string]func(*Pool){
		"gone": func(y *Pool) { y.Remove(0) },
		"anew": func(y *Pool) { y.SetAddress(0, cacheAddress, true) },
	} {
		x := newLateWorld()
		x.engine.Do(func() {
			for no := byte(1); no <= 3; no++ {
				get, body := request(no, 0)
				x.pool.Send(AttemptID{}.at(no), 0, get, body)
			}
			news(x.pool)
			if len(x.ends) != 3 || x.pool.Connections() != 0 || x.pool.Queued() != 0 {
				t.Errorf("%s: %d told, %d connections, %d held", name, len(x.ends), x.pool.Connections(), x.pool.Queued())
			}
			for ticket, e := range x.ends {
				if e.Err == nil || e.Err.Progress != NotSent {
					t.Errorf("%s: %v ended as %+v", name, ticket, e)
				}
			}
		})
		if x.world.Run(400 * clock.Millisecond); x.cache.got.Len() > 0 {
			t.Errorf("%s: the cache read %q", name, x.cache.got.String())
		}
	}
}
