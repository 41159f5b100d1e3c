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
	mu         sync.Mutex // guards lastClaim, firstClaim and owners
	lastClaim  map[claim]time.Time
	firstClaim map[claim]time.Time
	owners     map[shardmap.Key]map[membership.NodeID]time.Time // when each owner last claimed the key
	Answers    atomic.Int64                                     // number of replies received
	done       chan struct{}                                    // closed by Close to end run
	Replies    chan struct{}                                    // closed when run has returned
}

// claim is a router's reply that it owns a key under a shard map. The router owned the key from its first claim under
// that map to its last.
type claim struct {
	owner   shardmap.Owner
	key     shardmap.Key
	version shardmap.Version // of the shard map
}

// OwnershipProbe starts a probe that asks the routers of the zone about the given keys.
func (z *Zone) OwnershipProbe(keys []shardmap.Key) (*OwnershipProbe, error) {
	secrets, err := peers.ReadKeys(z.keyFile)
	if err != nil {
		return nil, err
	}
	p := &OwnershipProbe{
		keys:       keys,
		routers:    z.peerAddresses,
		lastClaim:  map[claim]time.Time{},
		firstClaim: map[claim]time.Time{},
		owners:     map[shardmap.Key]map[membership.NodeID]time.Time{},
		done:       make(chan struct{}),
		Replies:    make(chan struct{}),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if p.channel, err = peers.Listen(netip.MustParseAddrPort("127.0.0.1:0"), secrets, p, log); err != nil {
		return nil, err
	}
	go p.run()
	return p, nil
}

// Close ends the probe.
func (p *OwnershipProbe) Close() {
	close(p.done)
	<-p.Replies
	p.channel.Close()
}

// ownershipProbePeriod is the time between two queries to a router.
const ownershipProbePeriod = 25 * time.Millisecond

// run queries all routers about one key per period, with the keys in turn, until Close. The probe sends the node id 1;
// a router's id is the hash of its address.
func (p *OwnershipProbe) run() {
	defer close(p.Replies)
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

// HandleDatagram records a router's reply.
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

// CountOwned returns the number of keys that exactly one router claimed within the last second, and the number of the
// other keys.
func (p *OwnershipProbe) CountOwned() (owned, other int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range p.keys {
		claimants := 0
		for _, at := range p.owners[key] {
			if time.Since(at) < time.Second {
				claimants++
			}
		}
		if claimants == 1 {
			owned++
		} else {
			other++
		}
	}
	return owned, other
}

// DoubleOwners returns the number of cases in which two routers owned a key at the same time: one router claimed
// the key under one shard map both before and after the first claim of the other router.
func (p *OwnershipProbe) DoubleOwners() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, aFirst := range p.firstClaim {
		for b, bFirst := range p.firstClaim {
			if a.key == b.key && a.owner != b.owner && aFirst.Before(bFirst) && p.lastClaim[a].After(bFirst) {
				n++
			}
		}
	}
	return n
}
