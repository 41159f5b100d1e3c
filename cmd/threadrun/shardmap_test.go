package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"threadrun/cluster/shardmap"
	"threadrun/internal/testserver"
)

// Five router processes use one shard map; a tenth of their datagrams is lost, some are duplicated, all are delayed by
// up to 30 ms. One router is killed, one is paused for three seconds, one receives but can't send: in the end each key
// has one owner, and no key has two at any time.
func TestShardMapOverProcesses(t *testing.T) {
	const routers = 5
	zone, err := testserver.NewZone(t.TempDir(), 2, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	zone.Relay.SetFaults(0.1, 30*time.Millisecond)
	c := newCluster(t, zone, routers, `, "shards": {"on": true}`)
	for i := range routers {
		c.start(i)
	}
	keys := []shardmap.Key{0, shardmap.LastKey}
	for i := range 14 {
		keys = append(keys, shardmap.Key(i+1)*0x1111111111111111)
	}
	k, err := zone.OwnershipProbe(keys)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	covered := func(what string) {
		t.Helper()
		for end := time.Now().Add(60 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if _, other := k.CountOwned(); other == 0 {
				break
			} else if time.Now().After(end) {
				text, _ := os.ReadFile(c.processes[1].LogPath)
				t.Fatalf("%s: %d keys have not one owner\n%s", what, other, text)
			}
		}
		if n := k.DoubleOwners(); n > 0 {
			t.Fatalf("%s: two answered for a key, %d times", what, n)
		}
	}
	covered("at the start")
	c.processes[0].Kill()
	time.Sleep(2 * time.Second) // its last answers have expired by then
	covered("one killed")
	c.start(0)
	_ = c.processes[1].Process.Signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	covered("one stopped")
	_ = c.processes[1].Process.Signal(syscall.SIGCONT)
	covered("the router continues")
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(2), zone.PeerAddress(i), true)
	}
	time.Sleep(3 * time.Second)
	covered("one can't send")
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(2), zone.PeerAddress(i), false)
	}
	covered("it can send again")
	if zone.Relay.Oversized.Load() > 0 || zone.Relay.Lost.Load() == 0 || k.Answers.Load() == 0 {
		t.Errorf("%d datagrams too long, %d lost, %d answers",
			zone.Relay.Oversized.Load(), zone.Relay.Lost.Load(), k.Answers.Load())
	}
	text, _ := os.ReadFile(c.processes[1].LogPath)
	if !strings.Contains(string(text), "shardmap: out of contact") &&
		!strings.Contains(string(text), "shardmap: map active") {
		t.Errorf("the log of the one that was stopped:\n%s", text)
	}
}

// peerField begins a peer's address in a log line.
const peerField = "peer="

// Four routers know their peers only from the deployment file, and each listens on another address than it advertises,
// as on the platform: all use one shard map that names all of them, and know one another only by the advertised
// addresses.
func TestPeersFromTheConfiguration(t *testing.T) {
	const routers = 4
	zone, err := testserver.NewZone(t.TempDir(), 2, routers, 0.1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	c := newCluster(t, zone, routers, "")
	c.operatorFile = zone.ConfigurePeers(`, "shards": {"on": true}`)
	for i := range routers {
		c.start(i)
	}
	for i := range routers {
		c.until("a shard map of all", i, func() bool {
			return strings.Contains(c.log(i), fmt.Sprintf("owners=%d ranges=%d ranges_owned=1", routers, routers))
		})
		c.until("its peers by their addresses", i, func() bool { return strings.Contains(c.log(i), peerField+`"`) })
		for j := range routers {
			if by := peerField + fmt.Sprintf("%q", zone.PeerAddress(j)); strings.Contains(c.log(i), by) {
				t.Errorf("router %d knows router %d by where it listens\n%s", i, j, c.log(i))
			}
		}
	}
}
