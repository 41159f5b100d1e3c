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
	tickInterval = 20 * time.Millisecond  // time between the starts of two ticks
	minTickPause = time.Millisecond       // minimum pause between two ticks, even if they take long
	stopTimeout  = 200 * time.Millisecond // maximum time that Stop waits for a tick in progress

	// Masks that are XORed into the router's seed, so that the node's cores and the leases draw independent random
	// sequences. The values are arbitrary, but the recorded seeds of simulations depend on them.
	nodeSeedMask  = 0x6d656d62
	leaseSeedMask = 0x64757479
)

// Controller owns the control goroutine and its state. Its methods may be called from any goroutine, except
// HandleDatagram, which the channel calls within a tick.
type Controller struct {
	config  Config
	log     *logrus.Logger
	channel *peers.Channel // nil: this router has no peers
	loop    transport.Loop
	mailbox mailbox

	snapshot       atomic.Pointer[Snapshot]
	purgesCaughtUp atomic.Bool // PurgesCaughtUp has been called

	// The fields below are used only by the control goroutine after Run.
	node          *node.Node
	leases        *lease.Manager
	leaseTable    *leaseTable
	leaseRevision uint64                                 // revision of the leases from which leaseTable was built
	memberStates  map[membership.NodeID]membership.State // as last reported by membership
	peers         []membership.Member                    // present routers, except this one
	peersChanged  bool                                   // membership has changed since peers was built
	queries       map[uint32]func(scatter.Result, error) // done functions of the queries in progress, by number
	saver         *recordSaver                           // nil: no snapshot files are written
}

// New returns a Controller, whose goroutine Run starts. The channel carries its datagrams; nil means that the router
// has no peers. The Controller owns the channel and closes it when the goroutine ends.
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
		Location:       config.SiblingLookup,
		ConfiguredSize: config.StaticFleetSize,
	}
	c.node = node.New(now, config.Self, nodeEvents{c}, config.Seed^nodeSeedMask,
		membership.DefaultTiming, membership.DefaultSuspicion, features)
	c.node.Membership.AddPeers(config.Peers)
	c.leases = lease.New(now, c.node.Membership.Self(), leaseEvents{c}, config.Seed^leaseSeedMask, config.Leases,
		lease.DefaultBalance)
	if config.Directory && config.SnapshotDir != "" {
		c.restore(now)
		c.saver = newRecordSaver(config.SnapshotDir, config.Log, now)
	}
	c.publish(now)
	return c
}

// Run starts the control goroutine, and a goroutine that writes snapshot files if they are enabled.
func (c *Controller) Run() {
	if c.saver != nil {
		go c.saver.run()
	}
	c.loop = c.config.Runtime.StartLoop(c.runTick, c.closeResources)
}

// Stop ends the control goroutine. It waits up to 200 ms for a tick in progress, and then returns even if the
// goroutine still runs. It may be called more than once.
func (c *Controller) Stop() { c.loop.Stop(stopTimeout) }

// Snapshot returns the state published by the last tick, or by New before the first tick. It is never nil.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// TakeMessages returns the messages for request handling that were added since the last call.
func (c *Controller) TakeMessages() []Message { return c.mailbox.takeMessages() }

// Send queues a datagram to a peer until the next tick. It copies the payload. The datagram is lost if the queue is
// full or this router has no peers.
func (c *Controller) Send(kind node.Kind, to netip.AddrPort, payload []byte) {
	if c.channel != nil {
		c.mailbox.addDatagram(kind, to, payload)
	}
}

// ObserveRequest queues an observation of an object for the directory, which reports it to the owner of its key. If the
// queue is full the observation is dropped; the object is observed again at its next request. The directory must be
// enabled.
func (c *Controller) ObserveRequest(record directory.Record) { c.mailbox.addObservation(record) }

// Locate asks other routers which caches hold an object. A CopiesLocated message follows if they know of copies. The
// call has no effect if the queue is full or SiblingLookup is disabled.
func (c *Controller) Locate(key shardmap.Key) { c.mailbox.addLookup(key) }

// ObservePurge applies a purge to the directory: of an object, or of all objects of a group if group is not 0.
// issuedAt is when the purge was issued, on Config.Clock.
func (c *Controller) ObservePurge(key shardmap.Key, group directory.Group, issuedAt Micros) {
	c.mailbox.addCommand(func() { c.node.ObservePurge(c.config.Clock(), key, group, issuedAt) })
}

// PurgesCaughtUp reports that ObservePurge has been called for all purges up to now. Only the first call has an effect.
func (c *Controller) PurgesCaughtUp() {
	if c.purgesCaughtUp.CompareAndSwap(false, true) {
		c.mailbox.addCommand(func() { c.node.PurgesCaughtUp = true })
	}
}

// Query queries the owners that may hold matching records. done is called exactly once, on the control goroutine, in
// the first tick after the deadline at the latest. Its error is nil, scatter.ErrBusy, or scatter.ErrNoMap, which also
// stands for a disabled directory.
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

// PinShardMap replaces computed shard maps by the operator's map; nil ranges return to computed maps. It logs an
// invalid map. The call has no effect on a router that started without shard maps: a reload may have enabled them in
// the operator's file, but they start only with a restart.
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

// SetKeys replaces the keys of the channel at the next tick.
func (c *Controller) SetKeys(keys *peers.Keys) {
	c.mailbox.addCommand(func() {
		if c.channel != nil {
			c.channel.SetKeys(keys)
		}
	})
}

// Leave announces to peers, at the next tick, that this router is about to shut down, so that they claim its leases.
// The router remains a member until EndMembership.
func (c *Controller) Leave() {
	c.mailbox.addCommand(func() {
		now := c.config.Clock()
		c.node.Leave(now)
		c.leases.MemberChanged(now, c.node.Membership.Self())
	})
}

// EndMembership announces to peers, at the next tick, that this router ends now, and ends its membership. The
// caller must call Stop afterward.
func (c *Controller) EndMembership() {
	c.mailbox.addCommand(func() { c.node.Membership.Shutdown(c.config.Clock()) })
}

// HandleDatagram handles a datagram from a peer. The channel calls it within a tick. Datagrams of a kind that no core
// of this goroutine handles become messages. Unreadable datagrams are dropped; most cores count them.
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

// runTick runs a tick and returns the pause until the next one.
func (c *Controller) runTick() time.Duration {
	started := c.config.Runtime.Now()
	c.tick(started)
	elapsed := c.config.Runtime.Now().Sub(started)
	return max(tickInterval-elapsed, minTickPause)
}

// tick performs all actions that are due. A panic is logged and ends only the current tick: queued items that the tick
// has taken but not handled yet are lost, and it publishes no Snapshot. started is when the tick started, on a
// monotonic clock.
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
	c.saveRecords(now)
	c.publish(now)
}

// closeResources closes the channel and ends the recordSaver. It is called after the last tick.
func (c *Controller) closeResources() {
	if c.channel != nil {
		c.channel.Close()
	}
	if c.saver != nil {
		c.saver.close()
	}
}
