package main

import (
	"fmt"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// Six routers as processes share limits by who is there, a tenth of their datagrams lost. One is killed: once it has been gone for a hold the
// others share by five. It is back: they share by six again. One is cut off both ways: it goes by what the settings name, as do those
// that can't know whether it sends on, until the hold has passed.
func TestSharersOverProcesses(t *testing.T) {
	const routers = 6
	b, err := testserver.NewBranch(t.TempDir(), 2, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	c := newCrew(t, b, routers, `, "presence": {"on": true}`)
	said := func(i int, line string, times int) {
		t.Helper()
		c.until(fmt.Sprintf("%q %d times", line, times), i, func() bool { return strings.Count(c.log(i), line) >= times })
	}
	for i := range routers {
		c.start(i)
	}
	shared := func(n, before int) string { return fmt.Sprintf("fleet_routers=%d previous_fleet_routers=%d", n, before) }
	for i := range routers {
		said(i, `fleet_routers=6`, 1)
		said(i, "state=alive", routers-1)
	}
	c.procs[0].Kill()
	for i := 1; i < routers; i++ {
		said(i, shared(5, 6), 1)
	}
	c.start(0)
	for i := 1; i < routers; i++ {
		said(i, shared(6, 5), 1)
	}
	for i := range routers {
		b.Relay.Cut(b.Own(1), b.Own(i), true)
		b.Relay.Cut(b.Own(i), b.Own(1), true)
	}
	for i := 2; i < routers; i++ {
		said(i, shared(5, 6), 2)
	}
	if strings.Count(c.log(1), " fleet_routers=5") > 1 {
		t.Errorf("the one that is cut off counts who it can't hear\n%s", c.log(1))
	}
}
