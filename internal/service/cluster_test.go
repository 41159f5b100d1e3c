package service

import (
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

// cluster consists of the routers of one zone, which all run in the test's process, and of the zone's servers. The
// routers exchange datagrams through the zone's relay.
type cluster struct {
	t           *testing.T
	zone        *testserver.Zone
	servers     []*Server            // nil: stopped by the test
	clients     []*testserver.Client // of the server with the same index
	logs        []*logBuffer         // of the server with the same index
	lastTraceID uint64
}

// logBuffer collects the log of one router.
type logBuffer struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// The lifetime of a copy of a page, for the test servers and in the settings.
const (
	pageFreshness     = 1500 * time.Millisecond
	freshnessSettings = `"class_fresh":[1500,0]`
)

// openCluster opens a cluster with the given number of routers, whose relay drops the given share of datagrams.
// keys are added to the operator's files as JSON, each preceded by a comma. setUp, if not nil, is called to set
// each cache's fields.
func openCluster(t *testing.T, routers int, loss float64, keys string, setUp func(*testserver.Cache)) *cluster {
	t.Helper()
	z, err := testserver.NewZone(t.TempDir(), 3, routers, loss, func(c *testserver.Cache) {
		c.FreshnessLifetime = map[string]time.Duration{"page": pageFreshness}
		if setUp != nil {
			setUp(c)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, zone: z}
	t.Cleanup(c.close)
	settings := strings.Replace(testserver.ZoneSettings(routers), `"class_fresh":[60000,0]`, freshnessSettings, 1)
	for i := range routers {
		address, err := testserver.FreeTCP()
		if err != nil {
			t.Fatal(err)
		}
		path, err := testserver.WriteConfig(t.TempDir(), testserver.ConfigurationOf(address, z.Discovery, settings))
		if err != nil {
			t.Fatal(err)
		}
		file, err := deployment.Open(path, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		operatorFile, err := operator.Read("spec", []byte(z.OperatorFile(i, keys)))
		if err != nil {
			t.Fatal(err)
		}
		log, lines := logrus.New(), &logBuffer{}
		log.SetOutput(lines)
		r, err := Start(file, operatorFile, log)
		if err != nil {
			t.Fatal(err)
		}
		client, err := testserver.Connect(address)
		if err != nil {
			t.Fatal(err)
		}
		c.servers, c.clients, c.logs = append(c.servers, r), append(c.clients, client), append(c.logs, lines)
	}
	return c
}

func (c *cluster) close() {
	for i, r := range c.servers {
		c.clients[i].Close()
		if r != nil {
			r.Stop()
		}
	}
	c.zone.Close()
}

// stats returns the counters of one router.
func (c *cluster) stats(i int) (s backgroundwork.Stats) {
	c.servers[i].engine.Do(func() { s = c.servers[i].proxy.background.Stats() })
	return s
}

// until waits until the condition holds, or fails the test after 2*testTimeout. description says what should hold.
func (c *cluster) until(description string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(2 * testTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i := range c.servers {
				c.t.Logf("router %d: %+v\n%s", i, c.stats(i), c.logs[i])
			}
			c.t.Fatalf("condition never held: %s", description)
		}
	}
}

// awaitLeases waits until all routers know one another and each lease has exactly one holder.
func (c *cluster) awaitLeases() {
	c.t.Helper()
	c.until("each lease has one holder", func() bool {
		held, all := 0, 0
		for i := range c.servers {
			s := c.stats(i)
			if s.LivePeers != len(c.servers)-1 {
				return false
			}
			held += s.HeldLeases
			c.servers[i].engine.Do(func() { all = c.servers[i].proxy.background.LeaseCount() })
		}
		return held == all
	})
}

// request requests a page from the first router and returns the answer.
func (c *cluster) request(object string) *testserver.Answer {
	c.t.Helper()
	c.lastTraceID++
	_, ch := c.clients[0].Send("page", testserver.RequestParams(c.lastTraceID, object, 2*time.Second), nil)
	select {
	case a := <-ch:
		return a
	case <-time.After(testTimeout):
		c.t.Fatal("no answer")
	}
	return nil
}

// isBackground reports whether a request at a cache was sent by a router's background work, whose trace ids are
// hashes. The trace ids of the tests' clients are small numbers.
func isBackground(g *testserver.CacheRequest) bool {
	n, err := strconv.ParseUint(g.ID, 16, 64)
	return err == nil && n > 1<<32
}

// refreshes returns the background requests that the caches have received, grouped by cache.
func (c *cluster) refreshes() (list []*testserver.CacheRequest) {
	for _, name := range c.zone.CacheNames {
		for _, g := range c.zone.Caches[name].Requests() {
			if isBackground(g) {
				list = append(list, g)
			}
		}
	}
	return list
}

// createdAfter reports whether the origin created the copy in an answer at or after the given time. It
// compares the time in the body of a test server's copy, as text.
func createdAfter(a *testserver.Answer, at time.Time) bool {
	_, stamp, _ := strings.Cut(string(a.Body), " as of ")
	return stamp >= at.Format("15:04:05.000")
}

// refreshEnabled contains the key of the operator's file that enables refresh ahead.
const refreshEnabled = `, "renewing": {"on": true, "shares": 32}`
