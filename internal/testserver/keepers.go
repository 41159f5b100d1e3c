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

// Keepers asks routers, over and over and past the relay, which of some keys they answer for, and finds those for which two did at
// one time. It is no member of the tier.
type Keepers struct {
	keys    []shardmap.Key
	routers []netip.AddrPort
	line    *peers.Channel
	mu      sync.Mutex
	last    map[said]time.Time // when a router said under a map that it answers for a key: the first time and the last
	first   map[said]time.Time
	now     map[shardmap.Key]map[membership.NodeID]time.Time
	Answers atomic.Int64
	done    chan struct{}
	ended   chan struct{}
}

// said is that a router answers for a key under a map. Under one map a router that has begun to answer goes on.
type said struct {
	by shardmap.Owner
	k  shardmap.Key
	v  shardmap.Version
}

// Keepers starts to ask the routers of a branch.
func (b *Branch) Keepers(keys []shardmap.Key) (*Keepers, error) {
	secrets, err := peers.ReadKeys(b.key)
	if err != nil {
		return nil, err
	}
	k := &Keepers{keys: keys, routers: b.own, last: map[said]time.Time{}, first: map[said]time.Time{},
		now: map[shardmap.Key]map[membership.NodeID]time.Time{}, done: make(chan struct{}), ended: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if k.line, err = peers.Listen(netip.MustParseAddrPort("127.0.0.1:0"), secrets, k, log); err != nil {
		return nil, err
	}
	go k.run()
	return k, nil
}

// Close ends it.
func (k *Keepers) Close() {
	close(k.done)
	<-k.ended
	k.line.Close()
}

func (k *Keepers) run() {
	defer close(k.ended)
	t := time.NewTicker(25 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-k.done:
			return
		case now := <-t.C:
			for _, to := range k.routers {
				k.line.Send(byte(node.KindShardMap), to, shardmap.OwnershipQuery(1, k.keys[i%len(k.keys)]))
			}
			k.line.Tick(now)
		}
	}
}

// HandleDatagram takes an answer.
func (k *Keepers) HandleDatagram(kind byte, _ netip.AddrPort, held []byte) {
	by, key, v, yes, err := shardmap.ParseOwnershipReply(held)
	if err != nil || kind != byte(node.KindShardMap) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Answers.Add(1)
	if k.now[key] == nil {
		k.now[key] = map[membership.NodeID]time.Time{}
	}
	if delete(k.now[key], by.ID); !yes {
		return
	}
	now := time.Now()
	k.now[key][by.ID] = now
	s := said{by, key, v}
	if k.last[s] = now; k.first[s].IsZero() {
		k.first[s] = now
	}
}

// Kept counts the keys for which one router answered within the last second, and those for which none or several did.
func (k *Keepers) Kept() (one, other int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.keys {
		n := 0
		for _, at := range k.now[key] {
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

// Twice counts pairs of routers that answered for one key at one time: the one said so under one map before and after the other did.
func (k *Keepers) Twice() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for a, from := range k.first {
		for b, at := range k.first {
			if a.k == b.k && a.by != b.by && from.Before(at) && k.last[a].After(at) {
				n++
			}
		}
	}
	return n
}
