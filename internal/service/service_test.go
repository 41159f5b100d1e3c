package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"threadrun/internal/attempts"
	"threadrun/internal/deployment"
	"threadrun/internal/frontend"
	"threadrun/internal/hash"
	"threadrun/internal/msgpack"
	"threadrun/internal/operator"
	"threadrun/internal/testseed"
	"threadrun/internal/testserver"
	"threadrun/routing"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261201, 40) }

const long = 10 * time.Second // only a hang lasts so long

// branch is a router among stand-ins: two caches, a parent, the origin.
type branch struct {
	t      testing.TB
	board  *testserver.Board
	caches map[string]*testserver.Cache
	router *Server
	door   string
	client *testserver.Client
	log    *strings.Builder
	mu     sync.Mutex
	traces uint64
}

func (b *branch) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.Write(p)
}

func open(t testing.TB, answer func(c *testserver.Cache, g *testserver.Get) *testserver.Reply, more ...string) *branch {
	t.Helper()
	return openSite(t, answer, testserver.Site, more...)
}

// openSite opens a branch with some settings.
func openSite(t testing.TB, answer func(c *testserver.Cache, g *testserver.Get) *testserver.Reply, site string, more ...string) *branch {
	t.Helper()
	b := &branch{t: t, caches: map[string]*testserver.Cache{}, log: &strings.Builder{}}
	var err error
	if b.board, err = testserver.Post("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, name := range []string{"edge-1", "edge-2", "parent", "origin"} {
		c, err := testserver.Open(name, "127.0.0.1:0", func(c *testserver.Cache) {
			c.Origin = name == "origin"
			c.Others = func(name string) *testserver.Cache { return b.caches[name] }
			if answer != nil {
				c.Answer = func(g *testserver.Get) *testserver.Reply { return answer(c, g) }
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		b.caches[name] = c
		lines = append(lines, b.line(name, "up", 0))
	}
	b.board.Roster(true, lines...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.door = l.Addr().String()
	l.Close()
	text := testserver.ConfigurationOf(b.door, b.board, site)
	for _, m := range more {
		text = strings.Replace(text, "{", "{"+m+",", 1)
	}
	path, err := testserver.Write(t.TempDir(), text)
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	spec, err := operator.Open("")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(b)
	if b.router, err = Start(file, spec, log); err != nil {
		t.Fatal(err)
	}
	b.client = b.connect()
	return b
}

func (b *branch) close() {
	b.client.Close()
	b.router.Stop()
	for _, c := range b.caches {
		c.Close(false)
	}
}

func (b *branch) line(name, state string, boot int64) string {
	zone, kind := "branch", "cache"
	if name == "parent" || name == "origin" {
		zone, kind = "hub", name
	}
	return testserver.Line(name, b.caches[name].Address(), zone, kind, state, boot)
}

func (b *branch) connect() *testserver.Client {
	b.t.Helper()
	c, err := testserver.Connect(b.door)
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

func (b *branch) wait(ch <-chan *testserver.Answer) *testserver.Answer {
	b.t.Helper()
	select {
	case a := <-ch:
		return a
	case <-time.After(long):
		b.t.Fatalf("no answer; log:\n%s", b.log)
	}
	return nil
}

func (b *branch) ask(method, object string, patience time.Duration, body []byte) <-chan *testserver.Answer {
	b.traces++
	_, ch := b.client.Ask(method, testserver.Visit(b.traces, object, patience), body)
	return ch
}

func (b *branch) until(what string, f func() bool) {
	b.t.Helper()
	for end := time.Now().Add(long); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("never: %s; log:\n%s", what, b.log)
		}
	}
}

// standing is what the router last heard of a cache, as the module has it.
func (b *branch) standing(name string) routing.EndpointState {
	var at routing.EndpointState
	b.router.engine.Do(func() {
		for _, x := range b.router.proxy.endpointUpdate {
			if x.NameHash == hash.String(name) {
				at = x.State
			}
		}
	})
	return at
}

func (b *branch) edges() []*testserver.Get {
	return append(b.caches["edge-1"].Gets(), b.caches["edge-2"].Gets()...)
}

const object = "00000000000000aa"

func TestServes(t *testing.T) {
	b := open(t, nil)
	defer b.close()
	_, ch := b.client.Ask("probe", nil, nil)
	if a := b.wait(ch); !a.Truth {
		t.Fatal("not ready")
	}
	first := b.wait(b.ask("page", object, time.Second, nil))
	if first.Error != "" || !strings.HasPrefix(string(first.Body), object+"/0") {
		t.Fatalf("%+v", first)
	}
	g := b.edges()[0]
	for key, want := range map[string]string{"queue": "page", "path": object, "blk": "0", "src": "parent", "flags": "share+swr"} {
		if g.Fields[key] != want {
			t.Errorf("field %s is %q, not %q", key, g.Fields[key], want)
		}
	}
	if ms, _ := strconv.Atoi(g.Fields["budget"]); ms < 1 || ms > 1000 || g.ID != fmt.Sprintf("%016x", 1) {
		t.Errorf("id %s, budget %d", g.ID, ms)
	}
	b.traces++
	f := testserver.Visit(b.traces, object, time.Second)
	f["ver"] = first.Fields["ver"]
	_, ch = b.client.Ask("page", f, nil)
	if a := b.wait(ch); a.Fields["unchanged"] != "1" || len(a.Body) > 0 {
		t.Errorf("the client's own copy: %+v", a)
	}
	if a := b.wait(b.ask("order", object, time.Second, make([]byte, 48000))); string(a.Body) != "done" {
		t.Errorf("a write: %+v", a)
	}
	// A purge: copies older than it will not do any more.
	at := time.Now()
	b.board.Recall(object, at)
	b.until("the purge in a request", func() bool {
		b.wait(b.ask("page", object, time.Second, nil))
		gets := b.edges()
		last := gets[0]
		for _, g := range gets {
			if g.ID == fmt.Sprintf("%016x", b.traces) {
				last = g
			}
		}
		ms, _ := strconv.Atoi(last.Fields["maxage"])
		return ms >= 1 && time.Duration(ms)*time.Millisecond <= time.Since(at)
	})
	if a := b.wait(b.ask("page", object, time.Second, nil)); string(a.Body) == string(first.Body) {
		t.Error("a copy older than the purge")
	}
}

// The key by which repeats of a request are dropped goes on unchanged, with each of its attempts; a request without one goes on without.
func TestKeyGoesOn(t *testing.T) {
	b := open(t, nil)
	defer b.close()
	for i, key := range []string{"7c1f-9a", ""} {
		f := testserver.Visit(uint64(i+1), object, time.Second)
		if key != "" {
			f["nonce"] = key
		}
		_, ch := b.client.Ask("order", f, []byte("a write"))
		if a := b.wait(ch); a.Error != "" {
			t.Fatalf("%+v", a)
		}
		for _, g := range b.edges() {
			if got, has := g.Fields["uniq"]; g.ID == f["trace"] && (got != key || has != (key != "")) {
				t.Errorf("key %q went on as %q", key, got)
			}
		}
	}
	if n := len(b.edges()); n < 2 {
		t.Errorf("%d attempts", n)
	}
	f := testserver.Visit(9, object, time.Second)
	f["nonce"] = "a,b=c"
	_, ch := b.client.Ask("order", f, []byte("a write"))
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("a key that can't stand in a list of fields: %+v", a)
	}
}

// Requests are counted against their tenants' shares, by the names that the settings give; a name that they do not give is no tenant's.
func TestTenantsByName(t *testing.T) {
	site := strings.Replace(testserver.Site, `"tenants":[]`, `"over_share_worth":0.1,"tenants":[{"name":"north","quota_rps":1},{"name":"south","quota_rps":2}]`, 1)
	b := openSite(t, nil, site)
	defer b.close()
	for name, want := range map[string]routing.TenantID{"north": 0, "south": 1, "elsewhere": routing.NoTenant, "": routing.NoTenant} {
		if got := b.router.proxy.Tenant([]byte(name)); got != want {
			t.Errorf("tenant %q is %d, not %d", name, got, want)
		}
	}
	f := testserver.Visit(1, object, time.Second)
	f["customer"] = "south"
	_, ch := b.client.Ask("page", f, nil)
	if a := b.wait(ch); a.Error != "" {
		t.Fatalf("%+v", a)
	}
	var tenants []routing.TenantID
	b.router.engine.Do(func() {
		tenants = append(tenants, routingRequest(&frontend.Request{Tenant: 1}).Tenant, routingRequest(&frontend.Request{Tenant: routing.NoTenant}).Tenant)
	})
	if tenants[0] != 1 || tenants[1] != routing.NoTenant {
		t.Errorf("handed to the module as %v", tenants)
	}
}

// Large answers come whole over a client that reads little at a time, beside small ones.
func TestLargeAnswers(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		return &testserver.Reply{Word: "data", Body: []byte(strings.Repeat(g.ID, 15000))}
	})
	defer b.close()
	var chans []<-chan *testserver.Answer
	for i := 0; i < 30; i++ {
		chans = append(chans, b.ask("page", fmt.Sprintf("%016x", i), 5*time.Second, nil))
	}
	for i, ch := range chans {
		if a := b.wait(ch); string(a.Body) != strings.Repeat(fmt.Sprintf("%016x", i+1), 15000) {
			t.Fatalf("answer %d: error %q, %d bytes", i, a.Error, len(a.Body))
		}
	}
}

// Whatever caches and connections do, each visit has one answer, and an order that may have run never runs again.
func TestOneAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var mu sync.Mutex
		script := rapid.SliceOfN(rapid.IntRange(0, 11), 0, 12).Draw(rt, "script")
		ran := map[string]int{} // trips that may have run, by id
		b := open(t, func(c *testserver.Cache, g *testserver.Get) *testserver.Reply {
			mu.Lock()
			deed := 0
			if len(script) > 0 {
				deed, script = script[0], script[1:]
			}
			if deed != 1 && deed != 2 && deed != 3 {
				ran[g.ID]++
			}
			mu.Unlock()
			raw := func(s string) { _, _ = g.Conn.Write([]byte(s)) }
			switch deed {
			case 1:
				return &testserver.Reply{Word: "absent"}
			case 2:
				return &testserver.Reply{Word: "full"}
			case 3:
				return &testserver.Reply{Word: "moot"}
			case 4:
				return &testserver.Reply{Word: "failed", Fields: "detail=src_broke"}
			case 5, 6:
				c.Cut(deed == 5)
				return nil
			case 7:
				return nil // silence
			case 8:
				raw("*4\r\n$16\r\n" + g.ID + "\r\n$4\r\ndata\r\n$1\r\n-\r\n$100\r\nhalf")
				c.Cut(true)
				return nil
			case 9:
				raw("-ERR what\r\n")
				return nil
			case 10:
				raw(testserver.Array("0123456789abcdef", "data", "-", "nobody's") + testserver.Array(g.ID, "what", "-", ""))
				return nil
			case 11:
				raw(testserver.Array(g.ID, "data", "-", g.ID))
				return &testserver.Reply{Word: "data", Body: []byte("a second time")}
			}
			return &testserver.Reply{Word: "data", Body: []byte(g.ID)}
		})
		defer b.close()
		var out []<-chan *testserver.Answer
		var orders []bool
		for i := rapid.IntRange(1, 12).Draw(rt, "visits"); i > 0; i-- {
			method, body := "page", []byte(nil)
			if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
				method, body = "order", []byte("slot")
			}
			b.traces++
			id, ch := b.client.Ask(method, testserver.Visit(b.traces, fmt.Sprintf("%016x", b.traces), 120*time.Millisecond), body)
			if rapid.IntRange(0, 9).Draw(rt, "leaves") == 0 {
				b.client.GiveUp(id)
				ch = nil
			}
			out, orders = append(out, ch), append(orders, body != nil)
			if rapid.Bool().Draw(rt, "in turn") && ch != nil {
				a := b.wait(ch)
				again := make(chan *testserver.Answer, 1)
				again <- a
				out[len(out)-1] = again
			}
		}
		for i, ch := range out {
			id := fmt.Sprintf("%016x", i+1)
			a := &testserver.Answer{}
			if ch != nil {
				a = b.wait(ch)
				if a.Error != "" && a.Error != "Shed" && a.Error != "Fault" || a.Error == "" && string(a.Body) != id {
					rt.Fatalf("visit %s: %+v", id, a)
				}
			}
			mu.Lock()
			n := ran[id]
			mu.Unlock()
			if orders[i] && (n > 1 || n > 0 && a.Error == "Shed") {
				rt.Fatalf("an order ran %d times, answer %q", n, a.Error)
			}
		}
		b.until("all is answered", func() (quiet bool) {
			b.router.engine.Do(func() { quiet = b.router.frontend.Idle() })
			return quiet
		})
		if n := len(b.client.Extra); n > strings.Count(fmt.Sprint(out), "<nil>") { // an answer may cross the giving up
			rt.Fatalf("%d answers too many", n)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if strings.Contains(b.log.String(), "panic") {
			rt.Fatalf("a panic:\n%s", b.log)
		}
	})
}

// A trip out of time is dropped at the cache, and what it says later is nobody's.
func TestLateAnswer(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		if g.Fields["path"] == object {
			time.Sleep(400 * time.Millisecond)
		}
		return &testserver.Reply{Word: "data", Body: []byte(g.ID)}
	})
	defer b.close()
	if a := b.wait(b.ask("page", object, 100*time.Millisecond, nil)); a.Error != "Fault" {
		t.Fatalf("%+v", a)
	}
	id := fmt.Sprintf("%016x", b.traces)
	b.until("a DROP", func() bool { return b.caches["edge-1"].Dropped(id)+b.caches["edge-2"].Dropped(id) == 1 })
	if a := b.wait(b.ask("page", "00000000000000bb", 2*time.Second, nil)); string(a.Body) != fmt.Sprintf("%016x", b.traces) {
		t.Errorf("%+v", a)
	}
	time.Sleep(500 * time.Millisecond)
	if len(b.client.Extra) > 0 {
		t.Errorf("a second answer: %+v", <-b.client.Extra)
	}
}

// Nothing goes to a draining cache, nor to one that is gone; one in the place of another has its own connections.
func TestDrains(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply { return &testserver.Reply{Word: "data"} })
	defer b.close()
	for i := 0; i < 20; i++ {
		b.wait(b.ask("page", fmt.Sprintf("%016x", i), time.Second, nil))
	}
	if len(b.caches["edge-1"].Gets()) == 0 || len(b.caches["edge-2"].Gets()) == 0 {
		t.Fatal("the objects do not spread over the caches")
	}
	b.board.Roster(false, b.line("edge-1", "draining", 0))
	b.until("the list of caches", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return strings.Contains(b.log.String(), "whole=false")
	})
	before := len(b.caches["edge-1"].Gets())
	for i := 0; i < 20; i++ {
		b.wait(b.ask("page", fmt.Sprintf("%016x", i), time.Second, nil))
	}
	if after := len(b.caches["edge-1"].Gets()); after != before {
		t.Errorf("%d visits to a draining cache", after-before)
	}
	// Another cache at the address of the one that has gone.
	b.caches["edge-3"] = b.caches["edge-1"]
	b.board.Roster(false, b.line("edge-1", "removed", 0), b.line("edge-3", "up", 0))
	b.until("a visit to the new cache", func() bool {
		for i := 0; i < 20; i++ {
			b.wait(b.ask("page", fmt.Sprintf("%016x", i), time.Second, nil))
		}
		return len(b.caches["edge-3"].Gets()) > before
	})
	conns := map[net.Conn]int{}
	for i, g := range b.caches["edge-3"].Gets() {
		if first, ok := conns[g.Conn]; ok && first < before && i >= before {
			t.Fatal("a visit to the new cache on a connection of the old one")
		} else if !ok {
			conns[g.Conn] = i
		}
	}
}

// A connection that has fallen silent is found out while nothing depends on it, and new ones are made.
func TestSilentConnection(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply { return &testserver.Reply{Word: "data"} })
	defer b.close()
	b.wait(b.ask("page", object, time.Second, nil))
	g := b.edges()[0]
	for _, c := range b.caches {
		c.Silence(true)
	}
	b.until("silent connections let go", func() bool {
		n := 0
		b.router.engine.Do(func() { n = b.router.proxy.pool.Connections() })
		return n == 0
	})
	for _, c := range b.caches {
		c.Silence(false)
	}
	if a := b.wait(b.ask("page", object, time.Second, nil)); a.Error != "" {
		t.Fatalf("%+v", a)
	}
	if gets := b.edges(); gets[len(gets)-1].Conn == g.Conn {
		t.Error("the silent connection again")
	}
}

// A client that does not read is cut off before it fills the memory; idle connections make room; others are served.
func TestFlood(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		return &testserver.Reply{Word: "data", Body: make([]byte, 240_000)}
	}, `"pools":{"clients":6,"unread_bytes":1000000}`)
	defer b.close()
	deaf, err := net.Dial("tcp", b.door)
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	_ = deaf.(*net.TCPConn).SetReadBuffer(4096)
	for i := uint64(1); i <= 60; i++ {
		if _, err := deaf.Write(testserver.Request(i, "page", testserver.Visit(1000+i, object, 2*time.Second), nil)); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.until("the deaf client cut off", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return strings.Contains(b.log.String(), "left unread")
	})
	for i := 0; i < 20; i++ {
		c, err := net.Dial("tcp", b.door)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	b.until("room for a newcomer", func() bool {
		c, err := testserver.Connect(b.door)
		if err != nil {
			return false
		}
		defer c.Close()
		_, ch := c.Ask("page", testserver.Visit(1, object, 2*time.Second), nil)
		select {
		case a := <-ch:
			return len(a.Body) == 240_000
		case <-c.Ended():
			return false
		}
	})
}

// A new file under load: a faulty one changes nothing and is told of by its key; with a good one the poll goes on
// elsewhere, from the number it has. A poll that began anew would take up the old list and purges again, one that
// stayed would hear no more of either.
func TestReload(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		time.Sleep(50 * time.Millisecond)
		return &testserver.Reply{Word: "data", Body: []byte("here")}
	})
	defer b.close()
	next, err := testserver.Post("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var after []string
	next.Spoil = func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		after = append(after, r.URL.Query().Get("after"))
		return false
	}
	next.Roster(true, b.line("edge-1", "up", 0), b.line("edge-2", "up", 0))
	reload := func(from *testserver.Board, old, with string) error {
		path, err := testserver.Write(t.TempDir(), strings.Replace(testserver.Configuration(b.door, from), old, with, 1))
		if err != nil {
			t.Fatal(err)
		}
		file, err := deployment.Open(path, func(string) string { return "" })
		if err != nil {
			return err
		}
		return b.router.Reload(file, b.router.operatorFile)
	}
	first := b.ask("page", object, 2*time.Second, nil)
	for _, fault := range [][3]string{{`"wait_ms":400`, `"wait_ms":"long"`, "'polls.wait_ms'"},
		{`"aim":300`, `"aim":"soon"`, "'lanes[0].aim'"}, {`"bulletin":"127`, `"bulletin":"bad`, "'bulletin'"}} {
		if err := reload(next, fault[0], fault[1]); err == nil || !strings.Contains(err.Error(), fault[2]) {
			t.Errorf("%s: %v", fault[1], err)
		}
	}
	b.board.Roster(false, b.line("edge-1", "draining", 0))
	b.until("the old bulletin is heard still", func() bool { return b.standing("edge-1") != 0 })
	next.Roster(false, b.line("edge-1", "draining", 0))
	for i := 0; i < 3; i++ { // the word may come again
		if err := reload(next, "5eed", "5eee"); err != nil {
			t.Fatal(err)
		}
	}
	next.Roster(false, b.line("edge-1", "up", 0), b.line("edge-2", "removed", 0))
	b.until("the new bulletin is heard", func() bool { return b.standing("edge-1") == 0 })
	if a := b.wait(first); string(a.Body) != "here" {
		t.Errorf("%+v", a)
	}
	if a := b.wait(b.ask("page", object, 2*time.Second, nil)); string(a.Body) != "here" {
		t.Errorf("%+v", a)
	}
	mu.Lock()
	defer mu.Unlock()
	if after[0] != "2" || strings.Contains(b.log.String(), "start anew") {
		t.Errorf("polls after %v; log:\n%s", after, b.log)
	}
	polls := b.board.Polls()
	time.Sleep(700 * time.Millisecond) // over one wait
	if more := b.board.Polls() - polls; more > 0 {
		t.Errorf("%d polls more at the old bulletin", more)
	}
}

// A visit under the mark of one in hand, from whatever client and for whatever object, is turned away before any cache
// hears of it: a cache would take the one for the other. Once the first is over the mark is free.
func TestMarkInHand(t *testing.T) {
	release := make(chan struct{})
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		<-release
		return &testserver.Reply{Word: "data", Body: []byte(g.Fields["path"])}
	})
	defer b.close()
	first := b.ask("page", object, 5*time.Second, nil)
	b.until("the first at a cache", func() bool { return len(b.edges()) == 1 })
	other := b.connect()
	defer other.Close()
	twin := testserver.Visit(b.traces, "00000000000000bb", 5*time.Second)
	_, ch := other.Ask("page", twin, nil)
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("the second under one mark: %+v", a)
	}
	close(release)
	if a := b.wait(first); string(a.Body) != object {
		t.Errorf("the first: %+v", a)
	}
	if n := len(b.edges()); n != 1 {
		t.Errorf("%d requests at caches", n)
	}
	_, ch = other.Ask("page", twin, nil)
	if a := b.wait(ch); string(a.Body) != "00000000000000bb" {
		t.Errorf("after the first is over: %+v", a)
	}
}

// An answer that stops midway holds up whatever follows on its connection: the connection ends, and the visit is tried
// elsewhere in time. A trip given up before that leaves the connection to nobody.
func TestAnswerStops(t *testing.T) {
	var mu sync.Mutex
	stops := 1
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		mu.Lock()
		defer mu.Unlock()
		if stops--; stops >= 0 || g.Fields["queue"] == "order" {
			_, _ = io.WriteString(g.Conn, "*4\r\n$16\r\n"+g.ID+"\r\n$4\r\nda")
			return nil
		}
		return &testserver.Reply{Word: "data", Body: []byte("whole")}
	})
	defer b.close()
	stuck := b.ask("page", object, 6*time.Second, nil)
	b.until("an answer after the one that stopped", func() bool { // its cache answers others meanwhile
		b.wait(b.ask("page", object, time.Second, nil))
		select {
		case a := <-stuck:
			if string(a.Body) != "whole" {
				t.Errorf("behind an answer that stopped: %+v", a)
			}
			return true
		case <-time.After(20 * time.Millisecond):
			return false
		}
	})
	if a := b.wait(b.ask("order", object, 600*time.Millisecond, []byte("x"))); a.Error != "Fault" {
		t.Errorf("half an answer to what must not run twice: %+v", a)
	}
	for range 4 {
		if a := b.wait(b.ask("page", object, 6*time.Second, nil)); string(a.Body) != "whole" {
			t.Errorf("after it: %+v", a)
		}
	}
	for _, c := range []string{"edge-1", "edge-2"} {
		ended := map[net.Conn]bool{}
		for _, g := range b.caches[c].Gets() {
			if ended[g.Conn] {
				t.Error("a connection with half an answer was used again")
			}
			ended[g.Conn] = g.Fields["queue"] == "order"
		}
	}
}

// Caches replaced by others all day long, some at the address of one that has gone: ids and pools come to no more than
// there are at a time. An id that a visit in hand has been to stays that cache's: the visit would be taken to have been
// at a machine it never saw.
func TestReplacedCaches(t *testing.T) {
	hold := make(chan struct{})
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		if g.Fields["path"] != object {
			<-hold
		}
		return &testserver.Reply{Word: "data", Body: []byte("here")}
	})
	defer b.close()
	ids := func() (n, pools int) {
		b.router.engine.Do(func() { n, pools = len(b.router.proxy.endpoints), b.router.proxy.pool.Endpoints() })
		return n, pools
	}
	id := func(name string) (id routing.EndpointID) {
		b.until("heard of "+name, func() (ok bool) {
			b.router.engine.Do(func() { id, ok = b.router.proxy.endpointIDs[name] })
			return ok
		})
		return id
	}
	held := b.ask("page", "00000000000000bb", 5*time.Second, nil)
	b.until("the held one at a cache", func() bool { return len(b.edges()) == 1 })
	at := "edge-1"
	if len(b.caches[at].Gets()) == 0 {
		at = "edge-2"
	}
	was := id(at)
	last := at
	for i := range 30 {
		name := fmt.Sprint("later-", i)
		address := b.caches[at].Address() // that of one that has gone
		b.board.Roster(false, testserver.Line(last, address, "branch", "cache", "removed", 0),
			testserver.Line(name, address, "branch", "cache", "up", 0))
		if id(name) == was {
			t.Fatalf("%s has the id of %s, which a visit in hand has been to", name, at)
		}
		if a := b.wait(b.ask("page", object, time.Second, nil)); string(a.Body) != "here" {
			t.Fatalf("after %s: %+v", name, a)
		}
		last = name
	}
	if n, pools := ids(); n > 6 || pools > 6 {
		t.Errorf("%d ids and %d pools for 4 caches, one replaced 30 times", n, pools)
	}
	close(hold)
	if a := b.wait(held); string(a.Body) != "here" {
		t.Errorf("the held one: %+v", a)
	}
	b.board.Roster(false, testserver.Line("last", b.caches[at].Address(), "branch", "cache", "up", 0))
	if got := id("last"); got != was {
		t.Errorf("the last has id %d, not the %d that came free", got, was)
	}
}

// The word to end: what has come is answered, what still comes too, and only then is it over.
func TestLeave(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		time.Sleep(300 * time.Millisecond)
		return &testserver.Reply{Word: "data", Body: []byte(strings.Repeat("x", 200000))}
	})
	defer b.close()
	chans := []<-chan *testserver.Answer{b.ask("page", object, 2*time.Second, nil)}
	left := make(chan struct{})
	go func() {
		b.router.Shutdown()
		close(left)
	}()
	b.until("leaving", func() bool {
		_, ch := b.client.Ask("probe", nil, nil)
		return !b.wait(ch).Truth
	})
	late := b.connect()
	defer late.Close()
	_, ch := late.Ask("page", testserver.Visit(999, object, 2*time.Second), nil)
	for _, ch := range append(chans, ch) {
		if a := b.wait(ch); len(a.Body) != 200000 {
			t.Errorf("error %q, %d bytes", a.Error, len(a.Body))
		}
	}
	select {
	case <-left:
	case <-time.After(long):
		t.Fatal("never left")
	}
}

// Bad input costs its own request, or at worst its own connection, and no trip.
func TestBadInput(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply { return &testserver.Reply{Word: "data"} })
	defer b.close()
	good := testserver.Visit(1, object, time.Second)
	for name, spoil := range map[string]func(f map[string]string){
		"trace": func(f map[string]string) { delete(f, "trace") }, "a short trace": func(f map[string]string) { f["trace"] = "12" },
		"line ends":  func(f map[string]string) { f["entity"] = "0000000000\r\n$1\r\n" },
		"piece":      func(f map[string]string) { f["piece"] = "-1" },
		"lot":        func(f map[string]string) { f["lot"] = "256" },
		"size":       func(f map[string]string) { f["size"] = "NaN" },
		"patience":   func(f map[string]string) { f["patience"] = "soon" },
		"a tag":      func(f map[string]string) { f["ver"] = "a,src=evil" },
		"no time":    func(f map[string]string) { f["patience"] = "0" },
		"less of it": func(f map[string]string) { f["patience"] = "-5" },
	} {
		f := map[string]string{}
		for k, v := range good {
			f[k] = v
		}
		spoil(f)
		_, ch := b.client.Ask("page", f, nil)
		if a := b.wait(ch); a.Error != "Fault" {
			t.Errorf("%s: %+v", name, a)
		}
	}
	_, ch := b.client.Ask("cook", good, nil)
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("an unknown method: %+v", a)
	}
	_, ch = b.client.Ask("order", good, make([]byte, 48001))
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("too large a body: %+v", a)
	}
	doubled := msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr([]byte{0x94, 0, 99}, "page"), 1), len(good)+1)
	for k, v := range good {
		doubled = msgpack.AppendStr(msgpack.AppendStr(doubled, k), v)
	}
	b.client.Write(msgpack.AppendStr(msgpack.AppendStr(doubled, "trace"), good["trace"]))
	if a := b.wait(b.client.Extra); a.ID != 99 || a.Error != "Fault" {
		t.Errorf("a doubled field: %+v", a)
	}
	if n := len(b.edges()); n > 0 {
		t.Errorf("%d trips", n)
	}
	twice := append(testserver.Request(1, "page", good, nil), testserver.Request(1, "page", good, nil)...)
	for name, raw := range map[string]string{"no message": "\x05", "text": "GET / HTTP/1.1\r\n\r\n", "a length": "\x94\x00\x01\xdb\xff\xff\xff\xff",
		"nesting": strings.Repeat("\x91", 100), "an id that is open": string(twice)} {
		c := b.connect()
		c.Write([]byte(raw))
		select {
		case <-c.Ended():
		case <-time.After(long):
			t.Errorf("%s: the connection lives", name)
		}
	}
	b.traces = 1 // that mark may be in hand still, with the visit whose connection ended
	if a := b.wait(b.ask("page", object, time.Second, nil)); a.Error != "" {
		t.Errorf("after all that: %+v", a)
	}
}

// Requests in any pieces, and many in one piece, are the same requests.
func TestPieces(t *testing.T) {
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		return &testserver.Reply{Word: "data", Body: []byte(g.ID)}
	})
	defer b.close()
	rapid.Check(t, func(rt *rapid.T) {
		c := b.connect()
		defer c.Close()
		var raw []byte
		want := map[uint64]string{}
		for id := uint64(1); id <= 8; id++ {
			b.traces++
			want[id] = fmt.Sprintf("%016x", b.traces)
			body := make([]byte, rapid.IntRange(0, 48_000).Draw(rt, "body"))
			raw = append(raw, testserver.Request(id, "order", testserver.Visit(b.traces, object, 5*time.Second), body)...)
		}
		for len(raw) > 0 {
			n := rapid.IntRange(1, len(raw)).Draw(rt, "piece")
			c.Write(raw[:n])
			raw = raw[n:]
		}
		for range want {
			if a := b.wait(c.Extra); string(a.Body) != want[a.ID] && a.Error != "Shed" {
				rt.Fatalf("%+v, not %s", a, want[a.ID])
			}
		}
	})
}

// Should the module panic over the end of a trip, its visit is answered and the others go on.
func TestPanic(t *testing.T) {
	held := make(chan struct{})
	b := open(t, func(_ *testserver.Cache, g *testserver.Get) *testserver.Reply {
		if g.Fields["path"] == object {
			<-held
		}
		return &testserver.Reply{Word: "data", Body: []byte(g.ID)}
	})
	defer b.close()
	ch := b.ask("page", object, 5*time.Second, nil)
	b.until("the trip", func() bool { return len(b.edges()) == 1 })
	b.router.engine.Do(func() {
		for _, c := range b.router.proxy.requests {
			if c.client != nil {
				b.router.proxy.results = append(b.router.proxy.results, endedAttempt{c.id, routing.AttemptResult{Attempt: -1}})
			}
		}
	})
	if a := b.wait(ch); a.Error != "Fault" {
		t.Errorf("%+v", a)
	}
	close(held)
	if a := b.wait(b.ask("page", "00000000000000bb", time.Second, nil)); a.Error != "" {
		t.Errorf("the next: %+v", a)
	}
	if len(b.client.Extra) > 0 {
		t.Errorf("a second answer: %+v", <-b.client.Extra)
	}
}

// What proves that a visit did not run, and what does not.
func TestEndings(t *testing.T) {
	fault := func(r attempts.Progress) *attempts.Result {
		return &attempts.Result{Err: &attempts.Error{Progress: r, Err: io.EOF}}
	}
	for _, c := range []struct {
		end  *attempts.Result
		want routing.Outcome
	}{
		{fault(attempts.NotConnected), routing.ConnectFailed}, {fault(attempts.NotSent), routing.NotSent},
		{fault(attempts.PartlySent), routing.NotSent}, {fault(attempts.Sent), routing.ConnectionLost},
		{fault(attempts.ResponseStarted), routing.ConnectionLost}, {&attempts.Result{Status: attempts.Expired}, routing.NotSent},
		{&attempts.Result{Status: attempts.Unknown}, routing.Failed}, {&attempts.Result{Status: attempts.Overloaded}, routing.Rejected},
		{&attempts.Result{Status: attempts.NotFound}, routing.CacheMiss}, {&attempts.Result{Status: attempts.NotModified}, routing.Succeeded},
	} {
		if got := outcomeOf(c.end); got != c.want {
			t.Errorf("%+v ends as %d, not %d", c.end, got, c.want)
		}
	}
	if timeoutOutcome(attempts.PartlySent) != routing.NotSent || timeoutOutcome(attempts.Sent) != routing.TimedOut {
		t.Error("silence")
	}
}

func TestAlarms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h timerHeap
		for _, at := range rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "alarms") {
			h.push(timer{at: routing.Micros(at)})
		}
		for last := routing.Micros(-1); len(h) > 0; {
			a := h.pop()
			if a.at < last {
				t.Fatalf("%d after %d", a.at, last)
			}
			last = a.at
		}
	})
}
