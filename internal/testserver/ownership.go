package testserver

import (
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/cluster/shardmap"
	"threadrun/internal/peers"
)

// OwnershipProbe repeatedly asks routers, bypassing the relay, which of some keys they own, and finds keys that two
// routers owned at the same time. It is not a member of the cluster.
type OwnershipProbe struct {
	keys       []shardmap.Key
	routers    []netip.AddrPort
	channel    *peers.Channel
	mu         sync.Mutex // guards the maps below
	lastClaim  map[claim]time.Time
	firstClaim map[claim]time.Time
	owners     map[shardmap.Key]map[membership.NodeID]time.Time // when each owner last claimed the key
	Answers    atomic.Int64                                     // number of replies received
	done       chan struct{}
	stopped    chan struct{}
}

// claim is a router's reply that it owns a key under a map. The router owned the key from its first claim under
// that map to its last.
type claim struct {
	owner   shardmap.Owner
	key     shardmap.Key
	version shardmap.Version
}

// OwnershipProbe starts a probe of the routers of the zone.
func (z *Zone) OwnershipProbe(keys []shardmap.Key) (*OwnershipProbe, error) {
	secrets, err := peers.ReadKeys(z.keyFile)
	if err != nil {
		return nil, err
	}
	k := &OwnershipProbe{
		keys:       keys,
		routers:    z.peerAddresses,
		lastClaim:  map[claim]time.Time{},
		firstClaim: map[claim]time.Time{},
		owners:     map[shardmap.Key]map[membership.NodeID]time.Time{},
		done:       make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if k.channel, err = peers.Listen(netip.MustParseAddrPort("127.0.0.1:0"), secrets, k, log); err != nil {
		return nil, err
	}
	go k.run()
	return k, nil
}

// Close ends the probe.
func (p *OwnershipProbe) Close() {
	close(p.done)
	<-p.stopped
	p.channel.Close()
}

// ownershipProbePeriod is the time between two queries to a router.
const ownershipProbePeriod = 25 * time.Millisecond

func (p *OwnershipProbe) run() {
	defer close(p.stopped)
	ticker := time.NewTicker(ownershipProbePeriod)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			for _, to := range p.routers {
				p.channel.Send(byte(node.KindShardMap), to, shardmap.OwnershipQuery(1, p.keys[i%len(p.keys)]))
			}
			p.channel.Tick(now)
		}
	}
}

// HandleDatagram handles a reply.
func (p *OwnershipProbe) HandleDatagram(kind byte, _ netip.AddrPort, payload []byte) {
	owner, key, version, owns, err := shardmap.ParseOwnershipReply(payload)
	if err != nil || kind != byte(node.KindShardMap) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Answers.Add(1)
	if p.owners[key] == nil {
		p.owners[key] = map[membership.NodeID]time.Time{}
	}
	if !owns {
		delete(p.owners[key], owner.ID)
		return
	}
	now := time.Now()
	p.owners[key][owner.ID] = now
	claimed := claim{owner: owner, key: key, version: version}
	p.lastClaim[claimed] = now
	if p.firstClaim[claimed].IsZero() {
		p.firstClaim[claimed] = now
	}
}

// CountOwned returns the number of keys that exactly one router claimed within the last second, and of the other
// keys.
func (p *OwnershipProbe) CountOwned() (one, other int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range p.keys {
		n := 0
		for _, at := range p.owners[key] {
			if time.Since(at) < time.Second {
				n++
			}
		}
		if n == 1 {
			one++
		} else {
			other++
		}
	}
	return one, other
}

// DoubleOwners returns the number of cases in which two routers owned a key at the same time: one claimed it under
// one map both before and after the other claimed it.
func (p *OwnershipProbe) DoubleOwners() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, from := range p.firstClaim {
		for b, at := range p.firstClaim {
			if a.key == b.key && a.owner != b.owner && from.Before(at) && p.lastClaim[a].After(at) {
				n++
			}
		}
	}
	return n
}
