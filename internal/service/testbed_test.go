package service

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/deployment"
	"threadrun/internal/hash"
	"threadrun/internal/operator"
	"threadrun/internal/testseed"
	"threadrun/internal/testserver"
	"threadrun/routing"
)

// TestMain fixes the seed of the random runs.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 40) }

const testTimeout = 10 * time.Second // only a hang takes this long

const object = "00000000000000aa"

// testbed is a router with test servers: two caches, a parent, the origin and the discovery server.
type testbed struct {
	t           testing.TB
	discovery   *testserver.Discovery
	caches      map[string]*testserver.Cache
	server      *Server
	address     string
	client      *testserver.Client
	log         *strings.Builder
	mu          sync.Mutex // guards log
	lastTraceID uint64
}

func (b *testbed) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.Write(p)
}

// logText returns the router's log so far.
func (b *testbed) logText() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.String()
}

// answerFunc answers a request at a cache. If it returns nil, no answer is sent.
type answerFunc func(c *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply

func answerEmpty(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
	return &testserver.Reply{Status: "data"}
}

// openTestbed opens a testbed whose caches answer with the given function, or like test servers if it is nil. more
// contains further members of the configuration.
func openTestbed(t testing.TB, answer answerFunc, more ...string) *testbed {
	t.Helper()
	return openTestbedWith(t, answer, testserver.Settings, more...)
}

// openTestbedWith opens a testbed with the given settings.
func openTestbedWith(t testing.TB, answer answerFunc, settings string, more ...string) *testbed {
	t.Helper()
	b := &testbed{t: t, caches: map[string]*testserver.Cache{}, log: &strings.Builder{}}
	var err error
	if b.discovery, err = testserver.StartDiscovery("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, name := range []string{"edge-1", "edge-2", "parent", "origin"} {
		c, err := testserver.StartCache(name, "127.0.0.1:0", func(c *testserver.Cache) {
			c.IsOrigin = name == "origin"
			c.Peer = func(name string) *testserver.Cache { return b.caches[name] }
			if answer != nil {
				c.Answer = func(g *testserver.CacheRequest) *testserver.Reply { return answer(c, g) }
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		b.caches[name] = c
		lines = append(lines, b.listLine(name, "up"))
	}
	b.discovery.AnnounceEndpoints(true, lines...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	_ = l.Close()
	text := testserver.ConfigurationOf(b.address, b.discovery, settings)
	for _, m := range more {
		text = strings.Replace(text, "{", "{"+m+",", 1)
	}
	path, err := testserver.WriteConfig(t.TempDir(), text)
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	operatorFile, err := operator.Open("")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(b)
	if b.server, err = Start(file, operatorFile, log); err != nil {
		t.Fatal(err)
	}
	b.client = b.connectClient()
	return b
}

func (b *testbed) close() {
	b.client.Close()
	b.server.Stop()
	for _, c := range b.caches {
		c.Close(false)
	}
}

func (b *testbed) listLine(name, state string) string {
	zone, kind := "branch", "cache"
	if name == "parent" || name == "origin" {
		zone, kind = "hub", name
	}
	return testserver.EndpointJSON(name, b.caches[name].Address(), zone, kind, state, 0)
}

func (b *testbed) connectClient() *testserver.Client {
	b.t.Helper()
	c, err := testserver.Connect(b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

func (b *testbed) wait(ch <-chan *testserver.Answer) *testserver.Answer {
	b.t.Helper()
	select {
	case a := <-ch:
		return a
	case <-time.After(testTimeout):
		b.t.Fatalf("no answer; log:\n%s", b.log)
	}
	return nil
}

func (b *testbed) ask(method, object string, timeout time.Duration, body []byte) <-chan *testserver.Answer {
	b.lastTraceID++
	_, ch := b.client.Send(method, testserver.RequestParams(b.lastTraceID, object, timeout), body)
	return ch
}

func (b *testbed) until(what string, f func() bool) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("condition never held: %s; log:\n%s", what, b.log)
		}
	}
}

// endpointState returns the state of a cache in the last update that was passed to the router.
func (b *testbed) endpointState(name string) routing.EndpointState {
	var at routing.EndpointState
	b.server.engine.Do(func() {
		for _, c := range b.server.proxy.endpointUpdate {
			if c.NameHash == hash.String(name) {
				at = c.State
			}
		}
	})
	return at
}

func (b *testbed) edgeRequests() []*testserver.CacheRequest {
	return append(b.caches["edge-1"].Requests(), b.caches["edge-2"].Requests()...)
}
