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

// Five router processes use one shard map. A tenth of their datagrams is lost, some are duplicated, and all are delayed
// by up to 30 ms. One router is killed, one is paused for three seconds, and one can receive but not send. After each
// fault every key must get one owner, and no key may have two owners at any time.
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
	probe, err := zone.OwnershipProbe(keys)
	if err != nil {
		t.Fatal(err)
	}
	defer probe.Close()
	waitOwned := func(situation string) {
		t.Helper()
		for end := time.Now().Add(60 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if _, other := probe.CountOwned(); other == 0 {
				break
			} else if time.Now().After(end) {
				text, _ := os.ReadFile(c.processes[1].LogPath)
				t.Fatalf("%s: %d keys do not have exactly one owner\n%s", situation, other, text)
			}
		}
		if n := probe.DoubleOwners(); n > 0 {
			t.Fatalf("%s: a key had two owners at the same time, %d times", situation, n)
		}
	}
	waitOwned("at the start")
	c.processes[0].Kill()
	time.Sleep(2 * time.Second) // until its last answers to the probe have expired
	waitOwned("one killed")
	c.start(0)
	_ = c.processes[1].Process.Signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	waitOwned("one paused")
	_ = c.processes[1].Process.Signal(syscall.SIGCONT)
	waitOwned("the paused router resumed")
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(2), zone.PeerAddress(i), true)
	}
	time.Sleep(3 * time.Second)
	waitOwned("one can't send")
	for i := range routers {
		zone.Relay.Partition(zone.PeerAddress(2), zone.PeerAddress(i), false)
	}
	waitOwned("all can send again")
	if zone.Relay.Oversized.Load() > 0 || zone.Relay.Lost.Load() == 0 || probe.Answers.Load() == 0 {
		t.Errorf("%d datagrams too long, %d lost, %d answers",
			zone.Relay.Oversized.Load(), zone.Relay.Lost.Load(), probe.Answers.Load())
	}
	text, _ := os.ReadFile(c.processes[1].LogPath)
	if !strings.Contains(string(text), "shardmap: out of contact") &&
		!strings.Contains(string(text), "shardmap: map active") {
		t.Errorf("the paused router has logged neither a loss of contact nor an active map:\n%s", text)
	}
}

// peerField is the start of the log field that contains the address of a peer.
const peerField = "peer="

// Four routers know their peers only from the deployment file, and each listens at another address than the one it
// advertises, as on the platform. All must use one shard map with all four as owners, and know one another only by the
// advertised addresses.
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
		c.waitUntil("the shard map has all routers as owners", i, func() bool {
			return strings.Contains(c.log(i), fmt.Sprintf("owners=%d ranges=%d ranges_owned=1", routers, routers))
		})
		c.waitUntil("a peer is logged", i, func() bool { return strings.Contains(c.log(i), peerField+`"`) })
		for j := range routers {
			if field := peerField + fmt.Sprintf("%q", zone.PeerAddress(j)); strings.Contains(c.log(i), field) {
				t.Errorf("router %d knows router %d by the address at which it listens\n%s", i, j, c.log(i))
			}
		}
	}
}
