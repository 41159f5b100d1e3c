package main

import (
	"os"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// crew is some routers of one branch, each a process of this program.
type crew struct {
	t     *testing.T
	b     *testserver.Branch
	more  string // of each one's operator's file
	site  string // their settings; empty: of a crew of so many
	spec  string // the whole of it, where the configuration tells the rest; empty: see more
	procs []*testserver.Process
	visit uint64
}

func newCrew(t *testing.T, b *testserver.Branch, routers int, more string) *crew {
	return &crew{t: t, b: b, more: more, procs: make([]*testserver.Process, routers)}
}

func (c *crew) start(i int) {
	c.t.Helper()
	spec := c.spec
	if spec == "" {
		spec = c.b.Spec(i, c.more)
	}
	site := c.site
	if site == "" {
		site = testserver.Crew(len(c.procs))
	}
	p, err := c.b.Run(i, []string{os.Args[0]}, []string{"THREADRUN_TEST_RUN=1"}, site, spec)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Kill)
	c.procs[i] = p
}

func (c *crew) log(i int) string {
	text, _ := os.ReadFile(c.procs[i].Log)
	return string(text)
}

// until waits for something that is to come in any case.
func (c *crew) until(what string, i int, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("never: %s, router %d\n%s", what, i, c.log(i))
		}
	}
}

// visits asks a router for so many pages: each gets one answer, and no second one.
func (c *crew) visits(i, objects int) {
	c.t.Helper()
	client, err := c.procs[i].Client(20 * time.Second)
	if err != nil {
		c.t.Fatalf("%v\n%s", err, c.log(i))
	}
	for k := range objects {
		c.visit++
		_, ch := client.Ask("page", testserver.Visit(c.visit, path(k), 2*time.Second), nil)
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
