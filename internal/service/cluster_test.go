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

// cluster is a number of routers of one zone in one process, with a relay between them.
type cluster struct {
	t           *testing.T
	site        *testserver.Zone
	servers     []*Server
	clients     []*testserver.Client
	logs        []*logBuffer
	lastTraceID uint64
}

type logBuffer struct {
	mu   sync.Mutex // guards text
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
	zone, err := testserver.NewZone(t.TempDir(), 3, routers, loss, func(c *testserver.Cache) {
		c.FreshTime = map[string]time.Duration{"page": pageFresh}
		if shape != nil {
			shape(c)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, site: zone}
	t.Cleanup(c.close)
	settings := strings.Replace(testserver.ZoneSettings(routers), `"class_fresh":[60000,0]`, freshSite, 1)
	for i := range routers {
		address, err := testserver.FreeTCP()
		if err != nil {
			t.Fatal(err)
		}
		path, err := testserver.WriteConfig(t.TempDir(), testserver.ConfigurationOf(address, zone.Discovery, settings))
		if err != nil {
			t.Fatal(err)
		}
		file, err := deployment.Open(path, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		operatorFile, err := operator.Read("spec", []byte(zone.OperatorFile(i, more)))
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
	c.site.Close()
}

func (c *cluster) stats(i int) (f backgroundwork.Stats) {
	c.servers[i].engine.Do(func() { f = c.servers[i].proxy.background.Stats() })
	return f
}

func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(2 * testTimeout); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i := range c.servers {
				c.t.Logf("router %d: %+v\n%s", i, c.stats(i), c.logs[i])
			}
			c.t.Fatalf("condition never held: %s", what)
		}
	}
}

// awaitLeases waits until all routers know one another and each lease has exactly one holder.
func (c *cluster) awaitLeases() {
	c.t.Helper()
	c.until("each lease has one holder", func() bool {
		held, all := 0, 0
		for i := range c.servers {
			f := c.stats(i)
			if f.LivePeers != len(c.servers)-1 {
				return false
			}
			held += f.HeldLeases
			c.servers[i].engine.Do(func() { all = c.servers[i].proxy.background.LeaseCount() })
		}
		return held == all
	})
}

func (c *cluster) ask(object string) *testserver.Answer {
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

// isBackground reports whether a request at a cache was not sent by a client. Clients use small numbers as trace
// ids.
func isBackground(g *testserver.CacheRequest) bool {
	n, err := strconv.ParseUint(g.ID, 16, 64)
	return err == nil && n > 1<<32
}

func (c *cluster) refreshes() (list []*testserver.CacheRequest) {
	for _, name := range c.site.CacheNames {
		for _, g := range c.site.Caches[name].Requests() {
			if isBackground(g) {
				list = append(list, g)
			}
		}
	}
	return list
}

// generatedAfter reports whether the time in a test server's body is later than the given time.
func generatedAfter(a *testserver.Answer, at time.Time) bool {
	_, stamp, _ := strings.Cut(string(a.Body), " as of ")
	return stamp >= at.Format("15:04:05.000")
}

const refreshEnabled = `, "renewing": {"on": true, "shares": 32}`
