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

// Output takes the results of a Manager's calls, within those calls.
type Output interface {
	// Send sends a datagram, which is valid only during the call.
	Send(to netip.AddrPort, datagram []byte)
	// MapChanged reports that the map this router follows, or its state, has changed.
	MapChanged(m *Map, state State)
	// RequestMember asks for what others know of a router: a map names it otherwise than it is known here.
	RequestMember(id membership.NodeID)
	// Log writes a log line: a constant message and its fields.
	Log(message string, attrs ...slog.Attr)
}

// Stats counts events since the start.
type Stats struct {
	Proposed, Adopted, Activated uint64 // maps
	Rejected                     uint64 // maps
	Sent, Received               uint64 // datagrams
	RateLimited                  uint64 // datagrams not sent
	Unreadable                   uint64 // datagrams
	DigestMismatches             uint64 // maps whose pieces had another digest
}

// Manager is one router's part in agreeing on maps. It is not safe for concurrent use.
type Manager struct {
	self   membership.Member
	output Output
	bounds Bounds
	random random.Source

	now       Micros
	startedAt Micros
	lastTick  Micros

	candidates Candidates
	lastChange Micros // of the candidates present

	inContact        bool
	lastOutOfContact Micros
	sameMapAt        Micros // when a peer last announced the current map

	// The map that this router follows.
	current   *Map
	state     State  // Prepared or Active
	confirmed []byte // bit set of the owners known to follow it
	served    []keyRange

	// The maps of others.
	peerVersions map[membership.NodeID]peerVersion
	highest      Version // the highest that a router present has announced
	highestAt    Micros  // when it was last announced; 0: none was
	laterTermAt  Micros  // when a map of a later term, which this router does not follow, was last announced; 0: none
	pending      *pendingMap
	rejected     []rejectedMap
	transfers    [maxTransfers]transfer

	// The maps made here.
	lastProposal  Micros
	lastProposed  Digest
	outdatedSince Micros // since when a successor has been due; 0: none is
	pinnedMap     *Map   // the operator's; its owners have no incarnations
	rejectedPin   Digest // of the operator's map when it was last rejected

	lastAnnounced Micros
	announceOrder []membership.NodeID
	announceNext  int // index in announceOrder

	limiter ratelimit.Limiter // of datagrams
	buffer  [MaxPayload + 8]byte
	stats   Stats
}

// New makes the Manager of a router that has just started. Seed should differ between routers.
func New(now Micros, self membership.Member, output Output, seed uint32, bounds Bounds) *Manager {
	mgr := &Manager{
		self:         self,
		output:       output,
		bounds:       bounds,
		random:       random.Source{Seed: seed},
		now:          now,
		startedAt:    now,
		lastTick:     now,
		candidates:   Candidates{},
		lastChange:   now,
		peerVersions: map[membership.NodeID]peerVersion{},
		limiter:      ratelimit.New(now, datagramsPerSecond, datagramBurst),
	}
	mgr.MemberChanged(now, self)
	return mgr
}

// MemberChanged takes a change of membership, of this router or another.
func (mgr *Manager) MemberChanged(now Micros, m membership.Member) {
	mgr.now = max(mgr.now, now)
	if m.ID == mgr.self.ID {
		if m.Incarnation != mgr.self.Incarnation { // the ranges were served in another incarnation
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
	mgr.lastChange = mgr.now
	if mgr.peerVersions[m.ID].incarnation != m.Incarnation {
		delete(mgr.peerVersions, m.ID)
	}
}

// Tick does what is due. Proposer reports whether this router holds the map lease, and term under which term.
func (mgr *Manager) Tick(now Micros, contact membership.Contact, proposer bool, term lease.Term) {
	stopped := now-mgr.lastTick > membership.MaxTickGap
	mgr.now = max(mgr.now, now)
	mgr.lastTick = now
	mgr.updateContact(contact, stopped)
	mgr.advancePending()
	mgr.activate()
	if proposer && mgr.mayPropose(contact, stopped) {
		mgr.propose(term)
	}
	mgr.announce()
}

// Map returns the map that this router follows, and its state; nil: none.
func (mgr *Manager) Map() (*Map, State) { return mgr.current, mgr.state }

// Candidate returns what is known of a router.
func (mgr *Manager) Candidate(id membership.NodeID) (Candidate, bool) {
	candidate, known := mgr.candidates[id]
	return candidate, known
}

// InContact reports whether this router may serve keys at all.
func (mgr *Manager) InContact() bool { return mgr.inContact }

// Stats returns the counts of events.
func (mgr *Manager) Stats() Stats { return mgr.stats }

// Serves reports whether this router may answer for a key now, and under which map. Ask immediately before the reply:
// a router that was stopped since its last tick must not go on as if no time had passed.
func (mgr *Manager) Serves(key Key, now Micros) (Version, bool) {
	if mgr.current == nil || !mgr.inContact || mgr.laterTermAt > 0 || now-mgr.lastTick > membership.MaxTickGap {
		return Version{}, false
	}
	i := sort.Search(len(mgr.served), func(i int) bool { return mgr.served[i].last >= key })
	return mgr.current.Version, i < len(mgr.served) && mgr.served[i].first <= key
}

// IsProposer reports whether the last map that this router proposed has the given digest.
func (mgr *Manager) IsProposer(digest Digest) bool { return mgr.lastProposed == digest }

func (mgr *Manager) selfOwner() Owner { return Owner{mgr.self.ID, mgr.self.Incarnation} }

func (mgr *Manager) currentVersion() Version {
	if mgr.current == nil {
		return Version{}
	}
	return mgr.current.Version
}
