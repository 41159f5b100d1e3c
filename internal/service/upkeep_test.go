package service

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/internal/backgroundwork"
	"threadrun/internal/deployment"
	"threadrun/internal/operator"
	"threadrun/internal/testserver"
)

// cluster is some routers of one branch in one process, with a relay between them.
type cluster struct {
	t           *testing.T
	site        *testserver.Branch
	servers     []*Server
	clients     []*testserver.Client
	logs        []*logBuffer
	lastTraceID uint64
}

type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (q *logBuffer) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.text.Write(p)
}

func (q *logBuffer) String() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.text.String()
}

const (
	pageFresh = 1500 * time.Millisecond
	freshSite = `"class_fresh":[1500,0]`
)

func openCluster(t *testing.T, routers int, loss float64, more string, shape func(*testserver.Cache)) *cluster {
	t.Helper()
	b, err := testserver.NewBranch(t.TempDir(), 3, routers, loss, func(c *testserver.Cache) {
		c.Fresh = map[string]time.Duration{"page": pageFresh}
		if shape != nil {
			shape(c)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	x := &cluster{t: t, site: b}
	t.Cleanup(x.close)
	site := strings.Replace(testserver.Crew(routers), `"class_fresh":[60000,0]`, freshSite, 1)
	for i := range routers {
		door, err := testserver.FreeTCP()
		if err != nil {
			t.Fatal(err)
		}
		path, err := testserver.Write(t.TempDir(), testserver.ConfigurationOf(door, b.Board, site))
		if err != nil {
			t.Fatal(err)
		}
		file, err := deployment.Open(path, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		spec, err := operator.Read("spec", []byte(b.Spec(i, more)))
		if err != nil {
			t.Fatal(err)
		}
		log, lines := logrus.New(), &logBuffer{}
		log.SetOutput(lines)
		r, err := Start(file, spec, log)
		if err != nil {
			t.Fatal(err)
		}
		client, err := testserver.Connect(door)
		if err != nil {
			t.Fatal(err)
		}
		x.servers, x.clients, x.logs = append(x.servers, r), append(x.clients, client), append(x.logs, lines)
	}
	return x
}

func (x *cluster) close() {
	for i, r := range x.servers {
		x.clients[i].Close()
		if r != nil {
			r.Stop()
		}
	}
	x.site.Close()
}

func (x *cluster) stats(i int) (f backgroundwork.Stats) {
	x.servers[i].engine.Do(func() { f = x.servers[i].proxy.background.Stats() })
	return f
}

func (x *cluster) until(what string, f func() bool) {
	x.t.Helper()
	for end := time.Now().Add(2 * testTimeout); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i := range x.servers {
				x.t.Logf("router %d: %+v\n%s", i, x.stats(i), x.logs[i])
			}
			x.t.Fatalf("never: %s", what)
		}
	}
}

// awaitLeases waits until all routers see one another, and each duty is held by one.
func (x *cluster) awaitLeases() {
	x.t.Helper()
	x.until("all duties in one hand each", func() bool {
		held, all := 0, 0
		for i := range x.servers {
			f := x.stats(i)
			if f.LivePeers != len(x.servers)-1 {
				return false
			}
			held += f.HeldLeases
			x.servers[i].engine.Do(func() { all = x.servers[i].proxy.background.LeaseCount() })
		}
		return held == all
	})
}

func (x *cluster) ask(router int, object string) *testserver.Answer {
	x.t.Helper()
	x.lastTraceID++
	_, ch := x.clients[router].Ask("page", testserver.Visit(x.lastTraceID, object, 2*time.Second), nil)
	select {
	case a := <-ch:
		return a
	case <-time.After(testTimeout):
		x.t.Fatal("no answer")
	}
	return nil
}

// isBackground tells whether a request at a cache was no client's: clients' marks are small numbers here.
func isBackground(g *testserver.Get) bool {
	n, err := strconv.ParseUint(g.ID, 16, 64)
	return err == nil && n > 1<<32
}

func (x *cluster) refreshes() (list []*testserver.Get) {
	for _, name := range x.site.Edges {
		for _, g := range x.site.Caches[name].Gets() {
			if isBackground(g) {
				list = append(list, g)
			}
		}
	}
	return list
}

const refreshEnabled = `, "renewing": {"on": true, "shares": 32}`

// Copies that one router's clients ask for are renewed by whoever holds the duty, a fifth of all datagrams lost, and clients
// are served fresh ones all along.
func TestRefreshesAreShared(t *testing.T) {
	var mu sync.Mutex
	notes := map[string]int{}
	x := openCluster(t, 3, 0.2, refreshEnabled, func(c *testserver.Cache) {
		c.Notes = func(g *testserver.Get, note string, _ time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if !isBackground(g) {
				notes[note]++
			}
		}
	})
	x.awaitLeases()
	end := time.Now().Add(5 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if a := x.ask(0, fmt.Sprintf("%016x", 100+i%8)); a.Error != "" {
			t.Fatalf("%+v", a)
		}
		time.Sleep(8 * time.Millisecond)
	}
	done, told, heard := uint64(0), x.stats(0).Refresh.Sent, uint64(0)
	for i := range 3 {
		f := x.stats(i)
		done += f.RefreshJobs.Succeeded
		if i > 0 {
			heard += f.Refresh.Received
		}
	}
	if done < 8 || told == 0 || heard == 0 {
		t.Errorf("%d renewals, %d copies told, %d heard", done, told, heard)
	}
	mu.Lock()
	defer mu.Unlock()
	if fills := notes["filled"]; fills > 8+8 || notes["stale"] > 0 || notes["hit"] < 200 {
		t.Errorf("clients were answered by %v", notes)
	}
	// Each copy once in each of its lives: two of one object within half its fresh time are one too many.
	last, twice := map[string]int{}, 0
	for _, g := range x.refreshes() {
		last[g.Fields["path"]]++
	}
	for object, n := range last {
		if most := int(5*time.Second/pageFresh)*3/2 + 2; n > most {
			t.Errorf("%s was renewed %d times", object, n)
			twice++
		}
	}
}

// A purge arrives while the renewal of that object is under way: what the renewal brings is older, and is not served.
func TestPurgeDuringRefresh(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 16)
	var once sync.Once
	var slow sync.Map
	x := openCluster(t, 1, 0, refreshEnabled, nil)
	for _, name := range x.site.Edges {
		x.site.Caches[name].Stall = func(g *testserver.Get) {
			if _, on := slow.Load("on"); on && isBackground(g) {
				held <- struct{}{}
				<-hold
			}
		}
	}
	x.awaitLeases()
	slow.Store("on", true)
	x.until("a renewal under way", func() bool {
		x.ask(0, object)
		select {
		case <-held:
			return true
		default:
			return false
		}
	})
	purged := time.Now()
	x.site.Board.Recall(object, purged)
	x.until("the purge in a request", func() bool {
		a := x.ask(0, object)
		return a.Error == "" && generatedAfter(a, purged)
	})
	once.Do(func() { close(hold) })
	slow.Delete("on")
	for range 20 {
		if a := x.ask(0, object); a.Error != "" || !generatedAfter(a, purged) {
			t.Fatalf("after the purge: %+v", a)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// generatedAfter tells whether a stand-in's body is of a copy made after a time: it names the time of day.
func generatedAfter(a *testserver.Answer, at time.Time) bool {
	_, stamp, _ := strings.Cut(string(a.Body), " as of ")
	return stamp >= at.Format("15:04:05.000")
}

// A draining cache gets no renewal and no probe, from the moment the router is told, whatever waits.
func TestNoBackgroundWorkAtADrainingCache(t *testing.T) {
	x := openCluster(t, 1, 0, refreshEnabled+`, "probing": {"on": true, "every_ms": 50}`, nil)
	x.awaitLeases()
	for i := range 60 {
		x.ask(0, fmt.Sprintf("%016x", 100+i%12))
		time.Sleep(5 * time.Millisecond)
	}
	drained := x.site.Edges[0]
	x.site.Board.Roster(false, x.site.Line(drained, "draining", 0))
	x.until("the list of caches", func() bool { return strings.Contains(x.logs[0].String(), "whole=false") })
	time.Sleep(100 * time.Millisecond) // what was on its way
	gets, from := len(x.site.Caches[drained].Gets()), time.Now()
	for i := range 150 {
		x.ask(0, fmt.Sprintf("%016x", 100+i%12))
		time.Sleep(10 * time.Millisecond)
	}
	if n := len(x.site.Caches[drained].Gets()); n != gets {
		t.Errorf("%d requests to a draining cache", n-gets)
	}
	if n := x.site.Pings.Count(drained, from); n > 0 {
		t.Errorf("%d probes of a draining cache", n)
	}
	if n := x.site.Pings.Count(x.site.Edges[1], from); n == 0 {
		t.Error("no probes at all")
	}
}

// What a probe of one router shows, the others know: a cache that is gone rests there too, before any visit met it.
func TestHealthReportsAreShared(t *testing.T) {
	x := openCluster(t, 3, 0.1, `, "probing": {"on": true, "every_ms": 100}`, nil)
	x.awaitLeases()
	for _, name := range x.site.Edges {
		x.site.Caches[name].Close(true)
	}
	x.until("all rest at all routers", func() bool {
		for _, l := range x.logs {
			if strings.Count(l.String(), "rests") < len(x.site.Edges) {
				return false
			}
		}
		return true
	})
	unheard := 0 // one router may hold the duties of all caches: it has nothing to hear
	for i := range x.servers {
		f := x.stats(i).HealthReports
		if f.OwnProbes == 0 && f.Received == 0 {
			t.Errorf("router %d: %+v", i, f)
		}
		if f.Received == 0 {
			unheard++
		}
	}
	if unheard > 1 {
		t.Errorf("%d routers heard nothing", unheard)
	}
}

// A flood of false datagrams costs no visit, and nobody is believed dead over it.
func TestFloodOfDatagrams(t *testing.T) {
	x := openCluster(t, 2, 0, refreshEnabled, nil)
	x.awaitLeases()
	stop, stopped := make(chan struct{}), make(chan struct{})
	to := x.site.Own(0)
	go func() {
		defer close(stopped)
		conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
		if err != nil {
			return
		}
		defer conn.Close()
		noise := make([]byte, 256)
		noise[0] = 1
		for i := 0; i < 200_000; i++ {
			if i%50 == 0 {
				select {
				case <-stop:
					return
				default:
					time.Sleep(time.Millisecond)
				}
			}
			_, _ = conn.Write(noise)
		}
	}()
	for i := range 200 {
		if a := x.ask(0, fmt.Sprintf("%016x", 100+i%8)); a.Error != "" {
			t.Fatalf("%+v", a)
		}
		time.Sleep(2 * time.Millisecond)
	}
	close(stop)
	<-stopped
	if f := x.stats(0); f.Channel.UnknownKey == 0 || f.Membership.Deaths > 0 {
		t.Errorf("%+v %+v", f.Channel, f.Membership)
	}
}

// A planned end hands duties over: the others hear of it, and nobody is suspected.
func TestShutdownHandsLeasesOver(t *testing.T) {
	x := openCluster(t, 3, 0, refreshEnabled, nil)
	x.awaitLeases()
	x.servers[0].Shutdown()
	f := x.stats(0)
	x.servers[0].Stop()
	x.servers[0] = nil
	held, all := 0, 0
	x.until("its duties with the others", func() bool {
		held = x.stats(1).HeldLeases + x.stats(2).HeldLeases
		x.servers[1].engine.Do(func() { all = x.servers[1].proxy.background.LeaseCount() })
		return held == all && x.stats(1).Membership.Departures+x.stats(2).Membership.Departures == 2
	})
	if f.HeldLeases != 0 {
		t.Errorf("it ended holding %d", f.HeldLeases)
	}
	for i := 1; i < 3; i++ {
		if m := x.stats(i).Membership; m.Deaths > 0 || m.Suspicions > 0 {
			t.Errorf("router %d: %+v", i, m)
		}
	}
	x.servers = append(x.servers[:0:0], x.servers[1], x.servers[2])
	x.clients[0].Close()
	x.clients, x.logs = x.clients[1:], x.logs[1:]
}

// What the operator's file switches on beyond what the site allows is refused with key and line; keys are taken up anew in
// service.
func TestReloadOfTheOperatorsFile(t *testing.T) {
	x := openCluster(t, 1, 0, refreshEnabled, nil)
	r := x.servers[0]
	site := strings.Replace(testserver.Site, `"may_probe":true`, `"may_probe":false`, 1)
	path, err := testserver.Write(t.TempDir(), testserver.ConfigurationOf("127.0.0.1:1", x.site.Board, site))
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	spec, _ := operator.Read("f", []byte(x.site.Spec(0, ",\n\"probing\": {\"on\": true}")))
	if err := r.Reload(file, spec); err == nil || !strings.Contains(err.Error(), "line 2: key 'probing.on'") {
		t.Error(err)
	}
	key := x.site.KeyFile()
	if err := os.WriteFile(key, []byte("no key\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good, _ := operator.Read("f", []byte(x.site.Spec(0, "")))
	if err := r.Reload(file, good); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Error(err)
	}
	if err := os.WriteFile(key, []byte(strings.Repeat("6b", 32)+"\n"+strings.Repeat("5a", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := r.Reload(file, good); err != nil {
		t.Error(err)
	}
}
