package control

import (
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/directory"
	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/cluster/node"
	"threadrun/cluster/scatter"
	"threadrun/cluster/shardmap"
	"threadrun/cluster/summary"
	"threadrun/internal/peers"
	"threadrun/internal/transport"
)

const (
	tickInterval = 20 * time.Millisecond
	minTickPause = time.Millisecond // after a tick that took longer than the interval
	stopTimeout  = 200 * time.Millisecond

	// XORed into the router's seed: the node's cores and the leases draw independent random sequences. The values are
	// arbitrary, but the kept seeds of the simulations depend on them.
	nodeSeedMask  = 0x6d656d62
	leaseSeedMask = 0x64757479
)

// Controller is the control goroutine and the state that it owns. Its methods may be called from any goroutine, but
// HandleDatagram, which is called within a tick.
type Controller struct {
	config  Config
	log     *logrus.Logger
	channel *peers.Channel // nil: this router shares with nobody
	loop    transport.Loop
	mailbox mailbox

	snapshot       atomic.Pointer[Snapshot]
	purgesCaughtUp atomic.Bool // the command was given

	// Of the control goroutine.
	node          *node.Node
	leases        *lease.Manager
	leaseTable    *leaseTable
	leaseRevision uint64 // that the table was built from
	memberStates  map[membership.NodeID]membership.State
	peers         []membership.Member
	peersChanged  bool // since peers was built
	queries       map[uint32]func(scatter.Result, error)
	saver         *snapshotSaver // nil: no snapshots are kept
}

// New makes a controller, not running yet. The channel carries its datagrams; nil: it shares with nobody. The caller
// hands the channel over: it is closed once the goroutine ends.
func New(config Config, channel *peers.Channel) *Controller {
	c := &Controller{
		config:       config,
		log:          config.Log,
		channel:      channel,
		memberStates: map[membership.NodeID]membership.State{},
		queries:      map[uint32]func(scatter.Result, error){},
		peersChanged: true,
	}
	now := config.Clock()
	features := node.Features{
		ShardMap:       config.ShardMap,
		Directory:      config.Directory,
		Recovery:       config.Directory,
		Query:          config.Directory,
		Location:       config.Locations,
		ConfiguredSize: config.StaticFleetSize,
	}
	c.node = node.New(now, config.Self, nodeEvents{c}, config.Seed^nodeSeedMask,
		membership.DefaultTiming, membership.DefaultSuspicion, features)
	c.node.Membership.AddPeers(config.Peers)
	c.leases = lease.New(now, c.node.Membership.Self(), leaseEvents{c}, config.Seed^leaseSeedMask, config.Leases,
		lease.DefaultBalance)
	if config.Directory && config.SnapshotDir != "" {
		c.restore(now)
		c.saver = newSnapshotSaver(config.SnapshotDir, config.Log, now)
	}
	c.publish(now)
	return c
}

// Run starts the goroutine, and the one that writes snapshots if there are any to be written.
func (c *Controller) Run() {
	if c.saver != nil {
		go c.saver.run()
	}
	c.loop = c.config.Runtime.StartLoop(c.runTick, c.loopEnded)
}

// Stop ends the goroutine and waits for it, 200 ms at most: one that hangs is abandoned.
func (c *Controller) Stop() { c.loop.Stop(stopTimeout) }

// Snapshot is the state after the last tick.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// TakeMessages returns the messages for traffic that have come since the last call.
func (c *Controller) TakeMessages() []Message { return c.mailbox.takeMessages() }

// Send queues a datagram of traffic's. Beyond a bound it is lost, as datagrams may be.
func (c *Controller) Send(kind node.Kind, to netip.AddrPort, payload []byte) {
	if c.channel != nil {
		c.mailbox.addDatagram(kind, to, payload)
	}
}

// ReportObject queues what was seen of an object for the owner of its key. Beyond a bound it is dropped: the object
// is seen again.
func (c *Controller) ReportObject(record directory.Record) { c.mailbox.addObservation(record) }

// Locate asks other routers which caches hold an object; CopiesLocated is the answer. Beyond a bound it is dropped.
func (c *Controller) Locate(key shardmap.Key) { c.mailbox.addLookup(key) }

// Purge has the directory apply a purge of an object or, with a group, of all its objects.
func (c *Controller) Purge(key shardmap.Key, group directory.Group, at Micros) {
	c.mailbox.addCommand(func() { c.node.ObservePurge(c.config.Clock(), key, group, at) })
}

// PurgesCaughtUp says that all purges up to now have been heard.
func (c *Controller) PurgesCaughtUp() {
	if c.purgesCaughtUp.CompareAndSwap(false, true) {
		c.mailbox.addCommand(func() { c.node.PurgesCaughtUp = true })
	}
}

// Query asks the owners that may hold matching records. Done is called once, on the control goroutine, by the
// deadline or soon after; its error is package scatter's.
func (c *Controller) Query(query summary.Query, limit int, deadline Micros, done func(scatter.Result, error)) {
	c.mailbox.addCommand(func() {
		id, err := c.node.Query(c.config.Clock(), query, limit, deadline)
		if err != nil {
			done(scatter.Result{}, err)
			return
		}
		c.queries[id] = done
	})
}

// PinShardMap uses the operator's shard map in place of computed ones; nil ends that. It has no effect on a router that
// started without shard maps, which a reload may enable for the next start.
func (c *Controller) PinShardMap(ranges []shardmap.Range, owners []membership.NodeID) {
	c.mailbox.addCommand(func() {
		if c.node.Shards == nil {
			return
		}
		if err := c.node.Shards.Pin(ranges, owners); err != nil {
			c.log.WithError(err).Error("shardmap: operator's map rejected")
		}
	})
}

// SetKeys replaces the keys of the channel.
func (c *Controller) SetKeys(keys *peers.Keys) {
	c.mailbox.addCommand(func() {
		if c.channel != nil {
			c.channel.SetKeys(keys)
		}
	})
}

// Leave tells the peers that this router is leaving, and hands its leases over.
func (c *Controller) Leave() {
	c.mailbox.addCommand(func() {
		now := c.config.Clock()
		c.node.Leave(now)
		c.leases.MemberChanged(now, c.node.Membership.Self())
	})
}

// AnnounceDeparture tells the peers at the next tick that this router ends; Stop is to follow.
func (c *Controller) AnnounceDeparture() {
	c.mailbox.addCommand(func() { c.node.Membership.Shutdown(c.config.Clock()) })
}

// HandleDatagram takes a peer's datagram. The channel calls it within a tick. A malformed one is counted by the core
// that reads it.
func (c *Controller) HandleDatagram(kind byte, from netip.AddrPort, payload []byte) {
	now := c.config.Clock()
	datagramKind := node.Kind(kind)
	switch {
	case c.node.Receive(now, datagramKind, from, payload):
	case datagramKind == node.KindLease:
		_ = c.leases.Receive(now, from, payload)
	default:
		c.mailbox.addMessage(Datagram{Kind: datagramKind, Payload: append([]byte(nil), payload...)})
	}
}

// runTick is one round of the loop; it gives the time until the next.
func (c *Controller) runTick() time.Duration {
	started := c.config.Runtime.Now()
	c.tick(started)
	elapsed := c.config.Runtime.Now().Sub(started)
	return max(tickInterval-elapsed, minTickPause)
}

// tick does what is due. A panic in it ends this tick only.
func (c *Controller) tick(started time.Time) {
	defer func() {
		if cause := recover(); cause != nil {
			c.log.WithFields(logrus.Fields{"panic": cause, "stack": string(debug.Stack())}).Error("control: tick panicked")
		}
	}()
	batch := c.mailbox.takeBatch()
	for _, command := range batch.commands {
		command()
	}
	for _, datagram := range batch.datagrams {
		c.channel.Send(byte(datagram.kind), datagram.to, datagram.payload)
	}
	now := c.config.Clock()
	for i := range batch.observations {
		c.node.Directory.ObserveRequest(now, batch.observations[i])
	}
	for _, key := range batch.lookups {
		c.node.Locate(now, key)
	}
	if c.channel != nil {
		c.channel.Tick(started)
	}
	c.node.Tick(now)
	c.leases.Tick(now, c.node.Membership.Contact())
	c.saveSnapshot(now)
	c.publish(now)
}

// loopEnded closes what the goroutine owned.
func (c *Controller) loopEnded() {
	if c.channel != nil {
		c.channel.Close()
	}
	if c.saver != nil {
		c.saver.close()
	}
}
