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

// tier is some routers of one branch in one process, with a relay between them.
type tier struct {
	t       *testing.T
	branch  *testserver.Branch
	routers []*Server
	clients []*testserver.Client
	logs    []*quietly
	traces  uint64
}

type quietly struct {
	mu sync.Mutex
	b  strings.Builder
}

func (q *quietly) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.b.Write(p)
}

func (q *quietly) String() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.b.String()
}

const (
	pageFresh = 1500 * time.Millisecond
	freshSite = `"class_fresh":[1500,0]`
)

func openTier(t *testing.T, routers int, loss float64, more string, shape func(*testserver.Cache)) *tier {
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
	x := &tier{t: t, branch: b}
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
		log, lines := logrus.New(), &quietly{}
		log.SetOutput(lines)
		r, err := Start(file, spec, log)
		if err != nil {
			t.Fatal(err)
		}
		client, err := testserver.Connect(door)
		if err != nil {
			t.Fatal(err)
		}
		x.routers, x.clients, x.logs = append(x.routers, r), append(x.clients, client), append(x.logs, lines)
	}
	return x
}

func (x *tier) close() {
	for i, r := range x.routers {
		x.clients[i].Close()
		if r != nil {
			r.Stop()
		}
	}
	x.branch.Close()
}

func (x *tier) figures(i int) (f backgroundwork.Stats) {
	x.routers[i].engine.Do(func() { f = x.routers[i].proxy.background.Stats() })
	return f
}

func (x *tier) until(what string, f func() bool) {
	x.t.Helper()
	for end := time.Now().Add(2 * long); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i := range x.routers {
				x.t.Logf("router %d: %+v\n%s", i, x.figures(i), x.logs[i])
			}
			x.t.Fatalf("never: %s", what)
		}
	}
}

// together waits until all routers see one another, and each duty is held by one.
func (x *tier) together() {
	x.t.Helper()
	x.until("all duties in one hand each", func() bool {
		held, all := 0, 0
		for i := range x.routers {
			f := x.figures(i)
			if f.LivePeers != len(x.routers)-1 {
				return false
			}
			held += f.HeldLeases
			x.routers[i].engine.Do(func() { all = x.routers[i].proxy.background.LeaseCount() })
		}
		return held == all
	})
}

func (x *tier) ask(router int, object string) *testserver.Answer {
	x.t.Helper()
	x.traces++
	_, ch := x.clients[router].Ask("page", testserver.Visit(x.traces, object, 2*time.Second), nil)
	select {
	case a := <-ch:
		return a
	case <-time.After(long):
		x.t.Fatal("no answer")
	}
	return nil
}

// behind tells whether a request at a cache was no client's: clients' marks are small numbers here.
func behind(g *testserver.Get) bool {
	n, err := strconv.ParseUint(g.ID, 16, 64)
	return err == nil && n > 1<<32
}

func (x *tier) renewals() (list []*testserver.Get) {
	for _, name := range x.branch.Edges {
		for _, g := range x.branch.Caches[name].Gets() {
			if behind(g) {
				list = append(list, g)
			}
		}
	}
	return list
}

const renewalsOn = `, "renewing": {"on": true, "shares": 32}`

// Copies that one router's clients ask for are renewed by whoever holds the duty, a fifth of all datagrams lost, and clients
// are served fresh ones all along.
func TestRenewalsAreShared(t *testing.T) {
	var mu sync.Mutex
	notes := map[string]int{}
	x := openTier(t, 3, 0.2, renewalsOn, func(c *testserver.Cache) {
		c.Notes = func(g *testserver.Get, note string, _ time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if !behind(g) {
				notes[note]++
			}
		}
	})
	x.together()
	end := time.Now().Add(5 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if a := x.ask(0, fmt.Sprintf("%016x", 100+i%8)); a.Error != "" {
			t.Fatalf("%+v", a)
		}
		time.Sleep(8 * time.Millisecond)
	}
	done, told, heard := uint64(0), x.figures(0).Refresh.Sent, uint64(0)
	for i := range 3 {
		f := x.figures(i)
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
	for _, g := range x.renewals() {
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
func TestPurgeDuringRenewal(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 16)
	var once sync.Once
	var slow sync.Map
	x := openTier(t, 1, 0, renewalsOn, nil)
	for _, name := range x.branch.Edges {
		x.branch.Caches[name].Stall = func(g *testserver.Get) {
			if _, on := slow.Load("on"); on && behind(g) {
				held <- struct{}{}
				<-hold
			}
		}
	}
	x.together()
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
	x.branch.Board.Recall(object, purged)
	x.until("the purge in a request", func() bool {
		a := x.ask(0, object)
		return a.Error == "" && madeAfter(a, purged)
	})
	once.Do(func() { close(hold) })
	slow.Delete("on")
	for range 20 {
		if a := x.ask(0, object); a.Error != "" || !madeAfter(a, purged) {
			t.Fatalf("after the purge: %+v", a)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// madeAfter tells whether a stand-in's body is of a copy made after a time: it names the time of day.
func madeAfter(a *testserver.Answer, at time.Time) bool {
	_, stamp, _ := strings.Cut(string(a.Body), " as of ")
	return stamp >= at.Format("15:04:05.000")
}

// A draining cache gets no renewal and no probe, from the moment the router is told, whatever waits.
func TestNothingBehindToADrainingCache(t *testing.T) {
	x := openTier(t, 1, 0, renewalsOn+`, "probing": {"on": true, "every_ms": 50}`, nil)
	x.together()
	for i := range 60 {
		x.ask(0, fmt.Sprintf("%016x", 100+i%12))
		time.Sleep(5 * time.Millisecond)
	}
	drained := x.branch.Edges[0]
	x.branch.Board.Roster(false, x.branch.Line(drained, "draining", 0))
	x.until("the list of caches", func() bool { return strings.Contains(x.logs[0].String(), "whole=false") })
	time.Sleep(100 * time.Millisecond) // what was on its way
	gets, from := len(x.branch.Caches[drained].Gets()), time.Now()
	for i := range 150 {
		x.ask(0, fmt.Sprintf("%016x", 100+i%12))
		time.Sleep(10 * time.Millisecond)
	}
	if n := len(x.branch.Caches[drained].Gets()); n != gets {
		t.Errorf("%d requests to a draining cache", n-gets)
	}
	if n := x.branch.Pings.Count(drained, from); n > 0 {
		t.Errorf("%d probes of a draining cache", n)
	}
	if n := x.branch.Pings.Count(x.branch.Edges[1], from); n == 0 {
		t.Error("no probes at all")
	}
}

// What a probe of one router shows, the others know: a cache that is gone rests there too, before any visit met it.
func TestProbesAreToldOn(t *testing.T) {
	x := openTier(t, 3, 0.1, `, "probing": {"on": true, "every_ms": 100}`, nil)
	x.together()
	for _, name := range x.branch.Edges {
		x.branch.Caches[name].Close(true)
	}
	x.until("all rest at all routers", func() bool {
		for _, l := range x.logs {
			if strings.Count(l.String(), "rests") < len(x.branch.Edges) {
				return false
			}
		}
		return true
	})
	unheard := 0 // one router may hold the duties of all caches: it has nothing to hear
	for i := range x.routers {
		f := x.figures(i).HealthReports
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
	x := openTier(t, 2, 0, renewalsOn, nil)
	x.together()
	stop, stopped := make(chan struct{}), make(chan struct{})
	to := x.branch.Own(0)
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
	if f := x.figures(0); f.Channel.UnknownKey == 0 || f.Membership.Deaths > 0 {
		t.Errorf("%+v %+v", f.Channel, f.Membership)
	}
}

// A planned end hands duties over: the others hear of it, and nobody is suspected.
func TestPlannedEnd(t *testing.T) {
	x := openTier(t, 3, 0, renewalsOn, nil)
	x.together()
	x.routers[0].Shutdown()
	f := x.figures(0)
	x.routers[0].Stop()
	x.routers[0] = nil
	held, all := 0, 0
	x.until("its duties with the others", func() bool {
		held = x.figures(1).HeldLeases + x.figures(2).HeldLeases
		x.routers[1].engine.Do(func() { all = x.routers[1].proxy.background.LeaseCount() })
		return held == all && x.figures(1).Membership.Departures+x.figures(2).Membership.Departures == 2
	})
	if f.HeldLeases != 0 {
		t.Errorf("it ended holding %d", f.HeldLeases)
	}
	for i := 1; i < 3; i++ {
		if m := x.figures(i).Membership; m.Deaths > 0 || m.Suspicions > 0 {
			t.Errorf("router %d: %+v", i, m)
		}
	}
	x.routers = append(x.routers[:0:0], x.routers[1], x.routers[2])
	x.clients[0].Close()
	x.clients, x.logs = x.clients[1:], x.logs[1:]
}

// What the operator's file switches on beyond what the site allows is refused with key and line; keys are taken up anew in
// service.
func TestOperatorsFileInService(t *testing.T) {
	x := openTier(t, 1, 0, renewalsOn, nil)
	r := x.routers[0]
	site := strings.Replace(testserver.Site, `"may_probe":true`, `"may_probe":false`, 1)
	path, err := testserver.Write(t.TempDir(), testserver.ConfigurationOf("127.0.0.1:1", x.branch.Board, site))
	if err != nil {
		t.Fatal(err)
	}
	file, err := deployment.Open(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	spec, _ := operator.Read("f", []byte(x.branch.Spec(0, ",\n\"probing\": {\"on\": true}")))
	if err := r.Reload(file, spec); err == nil || !strings.Contains(err.Error(), "line 2: key 'probing.on'") {
		t.Error(err)
	}
	key := x.branch.KeyFile()
	if err := os.WriteFile(key, []byte("no key\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good, _ := operator.Read("f", []byte(x.branch.Spec(0, "")))
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
