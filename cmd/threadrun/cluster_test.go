package main

import (
	"os"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// cluster is routers of one zone, each a process of the test executable.
type cluster struct {
	t            *testing.T
	zone         *testserver.Zone
	operatorKeys string // to add to each one's operator's file
	settings     string // empty: testserver.ZoneSettings
	operatorFile string // empty: testserver.Zone.OperatorFile with operatorKeys
	processes    []*testserver.Process
	lastTraceID  uint64
}

func newCluster(t *testing.T, zone *testserver.Zone, routers int, operatorKeys string) *cluster {
	return &cluster{t: t, zone: zone, operatorKeys: operatorKeys, processes: make([]*testserver.Process, routers)}
}

func (c *cluster) start(i int) {
	c.t.Helper()
	operatorFile := c.operatorFile
	if operatorFile == "" {
		operatorFile = c.zone.OperatorFile(i, c.operatorKeys)
	}
	settings := c.settings
	if settings == "" {
		settings = testserver.ZoneSettings(len(c.processes))
	}
	p, err := c.zone.StartRouter(i, []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}, settings, operatorFile)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Kill)
	c.processes[i] = p
}

func (c *cluster) log(i int) string {
	text, _ := os.ReadFile(c.processes[i].LogPath)
	return string(text)
}

// until waits for a condition that must become true.
func (c *cluster) until(what string, i int, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("never: %s, router %d\n%s", what, i, c.log(i))
		}
	}
}

// request requests pages from a router. Each must get exactly one answer.
func (c *cluster) request(i, objects int) {
	c.t.Helper()
	client, err := c.processes[i].Client(20 * time.Second)
	if err != nil {
		c.t.Fatalf("%v\n%s", err, c.log(i))
	}
	for k := range objects {
		c.lastTraceID++
		_, ch := client.Send("page", testserver.RequestParams(c.lastTraceID, objectName(k), 2*time.Second), nil)
		select {
		case a := <-ch:
			if a.Error != "" {
				c.t.Fatalf("router %d: %+v\n%s", i, a, c.log(i))
			}
		case <-time.After(10 * time.Second):
			c.t.Fatalf("router %d: no answer\n%s", i, c.log(i))
		}
		select {
		case a := <-ch:
			c.t.Fatalf("a second answer: %+v", a)
		default:
		}
	}
}
