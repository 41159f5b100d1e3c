package main

import (
	"os"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// cluster is a group of routers in one zone. Each router is a process of the test executable.
type cluster struct {
	t               *testing.T
	zone            *testserver.Zone
	operatorMembers string                // JSON members that are added to each operator's file, each preceded by a comma
	settings        string                // of all routers; empty: testserver.ZoneSettings
	operatorFile    string                // of all routers; empty: testserver.Zone.OperatorFile with operatorMembers
	processes       []*testserver.Process // nil until the router is started
	lastTraceID     uint64                // trace id of the last request
}

func newCluster(t *testing.T, zone *testserver.Zone, routers int, operatorMembers string) *cluster {
	return &cluster{t: t, zone: zone, operatorMembers: operatorMembers, processes: make([]*testserver.Process, routers)}
}

// start starts router i, or restarts it after it was killed.
func (c *cluster) start(i int) {
	c.t.Helper()
	operatorFile := c.operatorFile
	if operatorFile == "" {
		operatorFile = c.zone.OperatorFile(i, c.operatorMembers)
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

// log returns the log of router i since it was last started.
func (c *cluster) log(i int) string {
	text, _ := os.ReadFile(c.processes[i].LogPath)
	return string(text)
}

// waitUntil waits until a condition on router i holds, and fails the test if it does not hold within a minute. what
// describes the condition.
func (c *cluster) waitUntil(what string, i int, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for: %s, router %d\n%s", what, i, c.log(i))
		}
	}
}

// request requests a number of objects from router i, one after another. Each request must get exactly one answer, and
// no error.
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
			c.t.Fatalf("router %d: a second answer: %+v", i, a)
		default:
		}
	}
}
