package service

import (
	"fmt"
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

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 40) }

// testTimeout is how long the tests wait for an event. Only a hang takes this long.
const testTimeout = 10 * time.Second

// object is the id of the object that most tests request.
const object = "00000000000000aa"

// testbed is a router with test servers (two caches, a parent, the origin and the discovery server) and one client.
type testbed struct {
	t           testing.TB
	discovery   *testserver.Discovery
	caches      map[string]*testserver.Cache
	server      *Server
	address     string
	client      *testserver.Client
	log         *strings.Builder
	mu          sync.Mutex // guards log
	lastTraceID uint64     // trace id of the last request of send
}

// Write appends to the router's log.
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

// answerFunc returns the answer of a cache to a request, or nil if no answer is sent.
type answerFunc func(c *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply

// answerEmpty is an answerFunc that returns an empty object.
func answerEmpty(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
	return &testserver.Reply{Status: "data"}
}

// openTestbed opens a testbed whose caches answer with the given function, or with the default answers of
// testserver.Cache if it is nil. members are added to the configuration, as JSON.
func openTestbed(t testing.TB, answer answerFunc, members ...string) *testbed {
	t.Helper()
	return openTestbedWith(t, answer, testserver.Settings, members...)
}

// openTestbedWith is like openTestbed, but replaces the settings in the configuration.
func openTestbedWith(t testing.TB, answer answerFunc, settings string, members ...string) *testbed {
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
			c.FindSource = func(name string) *testserver.Cache { return b.caches[name] }
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
	for _, member := range members {
		text = strings.Replace(text, "{", "{"+member+",", 1)
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

// listLine returns the endpoint list entry of an endpoint of the testbed.
func (b *testbed) listLine(name, state string) string {
	zone, kind := "branch", "cache"
	if name == "parent" || name == "origin" {
		zone, kind = "hub", name
	}
	return testserver.EndpointJSON(name, b.caches[name].Address(), zone, kind, state, 0)
}

// connectClient connects a further client. The caller must close it.
func (b *testbed) connectClient() *testserver.Client {
	b.t.Helper()
	c, err := testserver.Connect(b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

// wait returns the answer from a channel, or fails the test after testTimeout.
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

// describe returns the contents of an answer for a failure message. Bodies may be large, so it contains only their
// start.
func describe(a *testserver.Answer) string {
	if a == nil {
		return "no answer"
	}
	return fmt.Sprintf("answer with error %q, fields %v and a body of %d bytes, %.40q", a.Error, a.Fields, len(a.Body),
		a.Body)
}

// send sends a request with the next trace id and returns the channel that will receive the answer.
func (b *testbed) send(method, object string, timeout time.Duration, body []byte) <-chan *testserver.Answer {
	b.lastTraceID++
	_, ch := b.client.Send(method, testserver.RequestParams(b.lastTraceID, object, timeout), body)
	return ch
}

// until waits until the condition holds, or fails the test after testTimeout. description says what should hold.
func (b *testbed) until(description string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("condition never held: %s; log:\n%s", description, b.log)
		}
	}
}

// endpointState returns the state of a cache in the last update that was passed to the router.
func (b *testbed) endpointState(name string) routing.EndpointState {
	var state routing.EndpointState
	b.server.engine.Do(func() {
		for _, e := range b.server.proxy.endpointUpdate {
			if e.NameHash == hash.String(name) {
				state = e.State
			}
		}
	})
	return state
}

// edgeRequests returns the requests that the two caches have received, grouped by cache.
func (b *testbed) edgeRequests() []*testserver.CacheRequest {
	return append(b.caches["edge-1"].Requests(), b.caches["edge-2"].Requests()...)
}
