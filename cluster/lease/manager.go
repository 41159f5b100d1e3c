package lease

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"

	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/random"
	"threadrun/internal/ratelimit"
)

const (
	// maxCatchUp is the longest time after its start for which a router waits for its table to match those of other
	// routers before it claims leases.
	maxCatchUp = 10 * clock.Second
	// logInterval is the minimum time between two log lines about acquired leases.
	logInterval = clock.Second
)

// peer is a member that may hold leases, including this router.
type peer struct {
	membership.Member
	holder       Holder
	presentSince Micros  // when it became present in this incarnation
	load         int     // number of leases it holds
	target       float64 // number of leases that its weight entitles it to, in the current plan
	capacity     int     // number of further leases it may hold, in the current plan; negative: above its limit
}

// Manager holds one router's lease table, and claims, offers and releases leases for that router. It is not safe
// for concurrent use.
//
// Invariants: every change of a lease's holder goes through setHolder, so that loads, vacantCount, bucketSums and
// revision match the table; a lease's term never decreases.
type Manager struct {
	self       membership.Member
	selfHolder Holder
	output     Output
	balance    Balance
	random     random.Source

	now       Micros // latest time passed by the caller; never goes back
	startedAt Micros
	settledAt Micros // when this router began to claim leases; 0: not yet

	peers      []*peer          // present members of this zone, including this router; sorted by ID
	byHolder   map[Holder]*peer // the same peers
	lastChange Micros           // when a peer last joined, restarted or ended

	table       []leaseEntry // indexed by ID
	vacantCount int          // number of vacant leases in table
	revision    uint64       // see Revision

	rankings     []ranking // indexed by ID
	equalWeights bool      // all peers have the same weight

	// Assignment and rebalancing.
	lastPlan      Micros
	planOutdated  bool // the peers have changed since the last plan
	lastRebalance Micros

	inContact bool   // this router may run tasks
	resumeAt  Micros // earliest time to resume tasks after a loss of contact

	// Gossip and digests.
	gossipQueue      []ID // leases whose claims have remaining transmissions, each once
	lastGossip       Micros
	messages         []message
	nextPeer         int      // position of pickPeer in peers, modulo their number
	bucketSums       []uint32 // of the claims of each bucket, see toggleSum
	lastDigest       Micros
	lastNewClaim     Micros // when a claim of another router last changed the table
	nextDigestBucket int    // first bucket of the next digest
	matchedWindows   uint32 // bit set of the windows that have matched another router's table; see caughtUp

	acquiredLogged uint64 // value of Stats.Acquired at the last log line
	lastLogged     Micros
	foreignLogged  bool

	limiter ratelimit.Limiter // of sent datagrams
	buffer  [MaxPayload]byte  // the datagram under construction
	scratch []ID              // reused for lists of leases, so that datagrams need no allocation
	stats   Stats
}

// New returns the Manager of a router that has just started, for the given number of leases, at most MaxLeases.
// seed should differ between routers.
func New(now Micros, self membership.Member, output Output, seed uint32, leases int, balance Balance) *Manager {
	leases = min(leases, MaxLeases)
	mgr := &Manager{
		self:          self,
		selfHolder:    HolderOf(self.ID, self.Incarnation),
		output:        output,
		balance:       balance,
		random:        random.Source{Seed: seed},
		now:           now,
		startedAt:     now,
		byHolder:      map[Holder]*peer{},
		lastChange:    now,
		table:         make([]leaseEntry, leases),
		vacantCount:   leases,
		rankings:      make([]ranking, leases),
		lastPlan:      now,
		planOutdated:  true,
		lastRebalance: now,
		lastGossip:    now,
		lastDigest:    now,
		limiter:       ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
	mgr.bucketSums = make([]uint32, mgr.bucketCount())
	for i := range mgr.table {
		mgr.table[i].vacant = true
		mgr.table[i].vacantSince = now
	}
	mgr.MemberChanged(now, self)
	return mgr
}

// MemberChanged handles a change of a member, which may be this router itself. Members of other zones share other
// leases and are ignored.
func (mgr *Manager) MemberChanged(now Micros, member membership.Member) {
	mgr.now = max(mgr.now, now)
	if member.Zone != mgr.self.Zone {
		return
	}
	holder := HolderOf(member.ID, member.Incarnation)
	if member.ID == mgr.self.ID {
		mgr.updateSelf(member, holder)
	}
	if !member.State.Present() {
		holder = noHolder
	}
	i, found := slices.BinarySearchFunc(mgr.peers, member.ID, func(p *peer, id membership.NodeID) int {
		return cmp.Compare(p.ID, id)
	})
	if !found {
		if holder == noHolder {
			return
		}
		mgr.peers = slices.Insert(mgr.peers, i, &peer{})
	}
	mgr.updatePeer(i, member, holder)
}

// updateSelf handles a change of this router. In a new incarnation it is a new holder, without leases.
func (mgr *Manager) updateSelf(self membership.Member, holder Holder) {
	mgr.self = self
	if holder != mgr.selfHolder {
		mgr.releaseAll()
		mgr.selfHolder = holder
	}
}

// releaseAll reports all leases of this router as released, because its incarnation ends.
func (mgr *Manager) releaseAll() {
	for id := range mgr.table {
		if r := &mgr.table[id]; r.holder == mgr.selfHolder {
			mgr.stats.Released++
			mgr.output.Released(ID(id), r.term)
		}
	}
}

// updatePeer updates the peer at an index, which is new if its holder is noHolder. A member that is no longer
// present has noHolder as its new holder.
func (mgr *Manager) updatePeer(i int, member membership.Member, holder Holder) {
	p := mgr.peers[i]
	oldHolder := p.holder
	sameRanking := oldHolder == holder && p.Weight == member.Weight
	if sameRanking && p.State == member.State {
		p.Member = member
		return
	}
	mgr.planOutdated = true
	mgr.revision++
	if sameRanking {
		p.Member = member
	} else {
		mgr.replacePeer(i, member, holder)
	}
	mgr.recountHolder(oldHolder)
	mgr.recountHolder(holder)
}

// replacePeer replaces a peer whose holder or weight changes, and so its rank for each lease, or removes it if it
// is no longer present. Rankings refer to peers by pointer, so it does not change the peer in place.
func (mgr *Manager) replacePeer(i int, member membership.Member, holder Holder) {
	old := mgr.peers[i]
	delete(mgr.byHolder, old.holder)
	p := &peer{Member: member, holder: holder, presentSince: old.presentSince, load: old.load}
	if old.holder != holder {
		mgr.lastChange = mgr.now
		p.presentSince = mgr.now
		p.load = 0
	}
	if holder == noHolder {
		mgr.peers = slices.Delete(mgr.peers, i, i+1)
		mgr.updateRankings(nil, old)
		return
	}
	mgr.peers[i] = p
	mgr.byHolder[holder] = p
	mgr.updateRankings(p, old)
}

// Tick performs all actions that are due. The caller must call it some tens of times per second.
func (mgr *Manager) Tick(now Micros, contact membership.Contact) {
	stalled := now-mgr.now > membership.MaxTickGap
	mgr.now = max(mgr.now, now)
	mgr.updateContact(contact, stalled)
	if mgr.settledAt == 0 && contact.Settled && (mgr.caughtUp() || mgr.now-mgr.startedAt > maxCatchUp) {
		mgr.settledAt = mgr.now
	}
	if mgr.settledAt > 0 {
		mgr.claimVacant()
		mgr.rebalance()
	}
	mgr.logAcquired()
	mgr.sendMessages()
	mgr.gossip()
	mgr.sendNextDigest()
}

// caughtUp reports whether every window of the table has matched that of another router, or there is no other
// router. Before that, a new router would consider leases vacant whose claims it has not received yet.
func (mgr *Manager) caughtUp() bool {
	windows := (mgr.bucketCount() + maxDigestBuckets - 1) / maxDigestBuckets
	return len(mgr.peers) < 2 || mgr.matchedWindows == 1<<windows-1
}

// logAcquired logs, at intervals, how many leases were acquired since the last log line.
func (mgr *Manager) logAcquired() {
	if mgr.stats.Acquired == mgr.acquiredLogged || mgr.now-mgr.lastLogged < logInterval {
		return
	}
	mgr.output.Log("lease: leases acquired",
		slog.Any("acquired", mgr.stats.Acquired-mgr.acquiredLogged),
		slog.Int("held", mgr.HeldCount()),
		slog.Int("leases", len(mgr.table)),
	)
	mgr.acquiredLogged = mgr.stats.Acquired
	mgr.lastLogged = mgr.now
}

// MayRun reports whether this router may run the tasks of a lease now, and under which term. Call it immediately
// before each task: unlike HeldHere, it returns false while the router is out of contact, and if the process
// was stalled since its last tick, because another router may have claimed the lease in the meantime.
func (mgr *Manager) MayRun(id ID, now Micros) (Term, bool) {
	if int(id) >= len(mgr.table) || !mgr.inContact || now-mgr.now > membership.MaxTickGap {
		return 0, false
	}
	r := &mgr.table[id]
	return r.term, r.holder == mgr.selfHolder
}

// HeldHere reports whether this router holds a lease, also while it is out of contact and must not run its
// tasks.
func (mgr *Manager) HeldHere(id ID) bool {
	return int(id) < len(mgr.table) && mgr.table[id].holder == mgr.selfHolder
}

// Lookup returns the address of a lease's holder and the term. held is false if no present member holds the lease;
// a holder that is suspected or leaving is present.
func (mgr *Manager) Lookup(id ID) (holder netip.AddrPort, term Term, held bool) {
	if int(id) >= len(mgr.table) {
		return holder, 0, false
	}
	r := &mgr.table[id]
	if p := mgr.byHolder[r.holder]; p != nil {
		return p.Address, r.term, true
	}
	return holder, r.term, false
}

// InContact reports whether this router may run the tasks of the leases that it holds.
func (mgr *Manager) InContact() bool { return mgr.inContact }

// HeldCount returns the number of leases that this router holds, also while it is out of contact.
func (mgr *Manager) HeldCount() (n int) {
	for i := range mgr.table {
		if mgr.table[i].holder == mgr.selfHolder {
			n++
		}
	}
	return n
}

// Count returns the number of leases.
func (mgr *Manager) Count() int { return len(mgr.table) }

// Revision returns a number that grows with each change in the results of Lookup and MayRun, except changes of
// InContact.
func (mgr *Manager) Revision() uint64 { return mgr.revision }

// Stats returns counts of events since the start.
func (mgr *Manager) Stats() Stats { return mgr.stats }
