package shardmap

import (
	"log/slog"
	"net/netip"
	"sort"

	"threadrun/cluster/lease"
	"threadrun/cluster/membership"
	"threadrun/internal/random"
	"threadrun/internal/ratelimit"
)

// Output receives the results of a Manager's calls. The Manager calls it only from within its own methods.
type Output interface {
	// Send sends a datagram of at most MaxPayload bytes. The slice is valid only during the call. Datagrams may be
	// lost, duplicated or reordered.
	Send(to netip.AddrPort, datagram []byte)
	// MapChanged reports that the map this router follows, or its state, has changed.
	MapChanged(m *Map, state State)
	// RequestMember asks other routers for their membership information about a router, because a map names an
	// incarnation of it that this router does not know as present.
	RequestMember(id membership.NodeID)
	// Log writes a log line with a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Proposed, Adopted, Activated uint64 // numbers of maps
	Rejected                     uint64 // number of maps that broke a rule
	Sent, Received               uint64 // numbers of datagrams
	RateLimited                  uint64 // datagrams not sent because of the rate limit or an unknown address
	Unreadable                   uint64 // received datagrams that could not be decoded
	DigestMismatches             uint64 // fetched maps whose pieces did not match the announced version
}

// Manager is one router's participant in the agreement on maps. It is not safe for concurrent use.
type Manager struct {
	self   membership.Member
	output Output
	bounds Bounds
	random random.Source

	now       Micros // latest time passed by the caller
	startedAt Micros
	lastTick  Micros

	candidates          Candidates
	lastCandidateChange Micros // when a candidate last became present or absent, or restarted

	inContact        bool   // this router may serve keys; set by updateContact
	lastOutOfContact Micros // time of the last Tick without proof of contact
	contactExpired   bool   // others may have declared this router dead since inContact was last set

	// The map that this router follows. Its state changes in adopt and activate only.
	current   *Map       // nil: none yet
	state     State      // Prepared or Active; None while current is nil
	confirmed []byte     // bit set, by owner index, of the owners known to follow current
	served    []keyRange // sorted ranges that this router may answer for; within its ranges in current

	// The maps of other routers. peerVersions holds the last announcement of each peer.
	peerVersions         map[membership.NodeID]peerVersion
	highest              Version       // highest version recently announced by a present router
	highestAnnouncedAt   Micros        // when highest was last announced; 0: never
	laterTermAnnouncedAt Micros        // when a map of a later term than current was last announced; 0: not recently
	pending              *pendingMap   // the map being fetched or validated; nil: none
	rejected             []rejectedMap // oldest first
	transfers            [maxTransfers]transfer

	// The maps proposed by this router.
	lastProposedAt     Micros // when this router last proposed a map, valid or not
	lastProposedDigest Digest // of the last map that this router proposed and adopted
	outdatedSince      Micros // when a successor became due; 0: none is due
	pinnedMap          *Map   // the operator's map, whose owners have no incarnations; nil: none
	rejectedPin        Digest // digest of the successor made from pinnedMap that was last rejected; 0: none

	lastAnnounced Micros
	announceOrder []membership.NodeID // all known routers, in random order, so that routers announce to different peers
	announceIndex int                 // index into announceOrder: the router to which the last announcement was sent

	limiter ratelimit.Limiter    // of all sent datagrams
	buffer  [MaxPayload + 8]byte // holds the datagram being encoded
	stats   Stats
}

// New returns the Manager of a router that has just started. It follows no map. seed should differ between
// routers, so that they announce to and fetch from different peers.
func New(now Micros, self membership.Member, output Output, seed uint32, bounds Bounds) *Manager {
	mgr := &Manager{
		self:                self,
		output:              output,
		bounds:              bounds,
		random:              random.Source{Seed: seed},
		now:                 now,
		startedAt:           now,
		lastTick:            now,
		candidates:          Candidates{},
		lastCandidateChange: now,
		peerVersions:        map[membership.NodeID]peerVersion{},
		limiter:             ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
	mgr.MemberChanged(now, self)
	return mgr
}

// MemberChanged handles a membership change of this or another router. A leaving router is no longer present, so
// that the next map moves its keys while it can still answer.
func (mgr *Manager) MemberChanged(now Micros, m membership.Member) {
	mgr.now = max(mgr.now, now)
	if m.ID == mgr.self.ID {
		if m.Incarnation != mgr.self.Incarnation { // no map assigns these ranges to the new incarnation
			mgr.served = nil
		}
		mgr.self = m
	}
	before, known := mgr.candidates[m.ID]
	after := Candidate{
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		Weight:      max(m.Weight, 1),
		Present:     m.State.Present() && m.State != membership.Leaving,
		Address:     m.Address,
	}
	mgr.candidates[m.ID] = after
	if !known {
		mgr.announceOrder = append(mgr.announceOrder, m.ID)
		mgr.random.Shuffle(len(mgr.announceOrder), func(i, j int) {
			mgr.announceOrder[i], mgr.announceOrder[j] = mgr.announceOrder[j], mgr.announceOrder[i]
		})
	}
	if before.Present == after.Present && before.Incarnation == after.Incarnation {
		return
	}
	mgr.lastCandidateChange = mgr.now
	if mgr.peerVersions[m.ID].incarnation != m.Incarnation {
		delete(mgr.peerVersions, m.ID)
	}
}

// Tick performs all actions that are due. contact is the state of this router's contact with the others, proposer
// says whether this router holds the map lease and may use it, and term is the lease's term. The caller must call Tick
// some tens of times per second: this router serves no keys after a gap of membership.MaxTickGap.
func (mgr *Manager) Tick(now Micros, contact membership.Contact, proposer bool, term lease.Term) {
	stalled := now-mgr.lastTick > membership.MaxTickGap
	mgr.now = max(mgr.now, now)
	mgr.lastTick = now
	mgr.updateContact(contact, stalled)
	mgr.advancePending()
	mgr.activate()
	if proposer && mgr.mayPropose(contact, stalled) {
		mgr.propose(term)
	}
	mgr.announce()
}

// Map returns the map that this router follows, or nil, and its state: Prepared, Active, or None without a map.
func (mgr *Manager) Map() (*Map, State) { return mgr.current, mgr.state }

// Candidate returns the state of a router, and whether the router is known.
func (mgr *Manager) Candidate(id membership.NodeID) (Candidate, bool) {
	candidate, known := mgr.candidates[id]
	return candidate, known
}

// InContact reports whether this router may serve keys now as far as its contact with the others is concerned. It
// returns false if this process was stalled since the last Tick, because the others may have believed this router dead
// meanwhile.
func (mgr *Manager) InContact(now Micros) bool {
	return mgr.inContact && now-mgr.lastTick <= membership.MaxTickGap
}

// Stats returns counts of events since the start.
func (mgr *Manager) Stats() Stats { return mgr.stats }

// Serves reports whether this router may answer for a key now, and under which map. It must be called immediately
// before the reply: it returns false while InContact does. It also returns false while a peer announces a map of a
// later term, under which another router may serve the key.
func (mgr *Manager) Serves(key Key, now Micros) (Version, bool) {
	if mgr.current == nil || !mgr.InContact(now) || mgr.laterTermAnnouncedAt > 0 {
		return Version{}, false
	}
	i := sort.Search(len(mgr.served), func(i int) bool { return mgr.served[i].last >= key })
	return mgr.current.Version, i < len(mgr.served) && mgr.served[i].first <= key
}

// ProposedLast reports whether the map that this router proposed and adopted last has the given digest.
func (mgr *Manager) ProposedLast(digest Digest) bool { return mgr.lastProposedDigest == digest }

func (mgr *Manager) selfOwner() Owner { return Owner{mgr.self.ID, mgr.self.Incarnation} }

// currentVersion returns the version of the map that this router follows, or the zero Version.
func (mgr *Manager) currentVersion() Version {
	if mgr.current == nil {
		return Version{}
	}
	return mgr.current.Version
}
