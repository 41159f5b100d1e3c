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

// OwnershipProbe asks routers, over and over and past the relay, which of some keys they answer for, and finds those
// for which two did at one time. It is no member of the tier.
type OwnershipProbe struct {
	keys       []shardmap.Key
	routers    []netip.AddrPort
	channel    *peers.Channel
	mu         sync.Mutex
	lastClaim  map[claim]time.Time // when a router said under a map that it answers for a key: the first time and the last
	firstClaim map[claim]time.Time
	owners     map[shardmap.Key]map[membership.NodeID]time.Time
	Answers    atomic.Int64
	done       chan struct{}
	stopped    chan struct{}
}

// claim is that a router answers for a key under a map. Under one map a router that has begun to answer goes on.
type claim struct {
	owner   shardmap.Owner
	key     shardmap.Key
	version shardmap.Version
}

// OwnershipProbe starts to ask the routers of a branch.
func (b *Zone) OwnershipProbe(keys []shardmap.Key) (*OwnershipProbe, error) {
	secrets, err := peers.ReadKeys(b.keyFile)
	if err != nil {
		return nil, err
	}
	k := &OwnershipProbe{
		keys:       keys,
		routers:    b.peerAddresses,
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

// Close ends it.
func (k *OwnershipProbe) Close() {
	close(k.done)
	<-k.stopped
	k.channel.Close()
}

func (k *OwnershipProbe) run() {
	defer close(k.stopped)
	t := time.NewTicker(25 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-k.done:
			return
		case now := <-t.C:
			for _, to := range k.routers {
				k.channel.Send(byte(node.KindShardMap), to, shardmap.OwnershipQuery(1, k.keys[i%len(k.keys)]))
			}
			k.channel.Tick(now)
		}
	}
}

// HandleDatagram takes an answer.
func (k *OwnershipProbe) HandleDatagram(kind byte, _ netip.AddrPort, held []byte) {
	by, key, v, yes, err := shardmap.ParseOwnershipReply(held)
	if err != nil || kind != byte(node.KindShardMap) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Answers.Add(1)
	if k.owners[key] == nil {
		k.owners[key] = map[membership.NodeID]time.Time{}
	}
	if delete(k.owners[key], by.ID); !yes {
		return
	}
	now := time.Now()
	k.owners[key][by.ID] = now
	s := claim{by, key, v}
	if k.lastClaim[s] = now; k.firstClaim[s].IsZero() {
		k.firstClaim[s] = now
	}
}

// CountOwned counts the keys for which one router answered within the last second, and those for which none or
// several did.
func (k *OwnershipProbe) CountOwned() (one, other int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.keys {
		n := 0
		for _, at := range k.owners[key] {
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

// DoubleOwners counts pairs of routers that answered for one key at one time: the one said so under one map before
// and after the other did.
func (k *OwnershipProbe) DoubleOwners() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for a, from := range k.firstClaim {
		for b, at := range k.firstClaim {
			if a.key == b.key && a.owner != b.owner && from.Before(at) && k.lastClaim[a].After(at) {
				n++
			}
		}
	}
	return n
}
