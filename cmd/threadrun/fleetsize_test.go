package main

import (
	"fmt"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// Six router processes share limits by the number of present routers; a tenth of their datagrams is lost. One router is
// killed: after a hold time the others count five. It restarts: they count six again. One router is partitioned: it
// uses the number in the settings, and so do routers that can't know whether it still sends, until the hold time has
// passed.
func TestFleetSizeOverProcesses(t *testing.T) {
	const routers = 6
	zone, err := testserver.NewZone(t.TempDir(), 2, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	c := newCluster(t, zone, routers, `, "presence": {"on": true}`)
	logged := func(i int, line string, times int) {
		t.Helper()
		c.until(fmt.Sprintf("%q %d times", line, times), i, func() bool { return strings.Count(c.log(i), line) >= times })
	}
	for i := range routers {
		c.start(i)
	}
	shared := func(n, before int) string {
		return fmt.Sprintf("fleet_routers=%d previous_fleet_routers=%d", n, before)
	}
	for i := range routers {
		logged(i, ` fleet_routers=6`, 1)
		logged(i, "state=alive", routers-1)
	}
	c.processes[0].Kill()
	for i := 1; i < routers; i++ {
		logged(i, shared(5, 6), 1)
	}
	c.start(0)
	for i := 1; i < routers; i++ {
		logged(i, shared(6, 5), 1)
	}
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(1), zone.PeerAddress(i), true)
		zone.Relay.Partition(zone.PeerAddress(i), zone.PeerAddress(1), true)
	}
	for i := 2; i < routers; i++ {
		logged(i, shared(5, 6), 2)
	}
	if strings.Count(c.log(1), " fleet_routers=5") > 1 {
		t.Errorf("the router that is cut off counts routers that it can't receive from\n%s", c.log(1))
	}
}
