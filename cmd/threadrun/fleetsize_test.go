package main

import (
	"fmt"
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// Six router processes share limits by the number of routers that are present. A tenth of their datagrams is lost.
// When one router is killed, the others must count five after the hold of package fleetsize, and six again when it
// has restarted. When one router is partitioned, the others must count five after the hold, because it may still
// forward requests. The partitioned router must use the number in the settings instead of counting itself alone.
func TestFleetSizeOverProcesses(t *testing.T) {
	const routers = 6
	zone, err := testserver.NewZone(t.TempDir(), 2, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	c := newCluster(t, zone, routers, `, "presence": {"on": true}`)
	waitLogged := func(i int, text string, times int) {
		t.Helper()
		c.waitUntil(fmt.Sprintf("%q is logged %d times", text, times), i, func() bool {
			return strings.Count(c.log(i), text) >= times
		})
	}
	for i := range routers {
		c.start(i)
	}
	sizeChange := func(n, previous int) string {
		return fmt.Sprintf("fleet_routers=%d previous_fleet_routers=%d", n, previous)
	}
	for i := range routers {
		waitLogged(i, ` fleet_routers=6`, 1)
		waitLogged(i, "state=alive", routers-1)
	}
	c.processes[0].Kill()
	for i := 1; i < routers; i++ {
		waitLogged(i, sizeChange(5, 6), 1)
	}
	c.start(0)
	for i := 1; i < routers; i++ {
		waitLogged(i, sizeChange(6, 5), 1)
	}
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(1), zone.PeerAddress(i), true)
		zone.Relay.Partition(zone.PeerAddress(i), zone.PeerAddress(1), true)
	}
	for i := 2; i < routers; i++ {
		waitLogged(i, sizeChange(5, 6), 2)
	}
	if strings.Count(c.log(1), " fleet_routers=5") > 1 { // once, after router 0 was killed
		t.Errorf("the partitioned router counts five routers, although it receives from none\n%s", c.log(1))
	}
}
