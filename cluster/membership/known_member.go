package membership

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
)

const (
	maxMembers  = 4096 // size limit of the member table, without this router
	maxAccusers = 4    // recorded per suspect
	maxWeight   = 1 << 12
	forgetAfter = 10 * clock.Minute // time after which a dead or departed member is removed
)

// knownMember is the state that this router keeps about one member.
type knownMember struct {
	Member
	refutations        Refutations
	accusers           [maxAccusers]NodeID // of the current suspicion or death; accuserCount of them are used
	accuserCount       int
	transmissions      int    // remaining gossip transmissions of its state; above 0: in Members.gossipQueue
	urgent             bool   // its queued change is a suspicion, refutation, departure or death, which is sent first
	lastDatagram       uint64 // number of the last datagram whose gossip contained its state
	sentOldIncarnation bool   // it sent an earlier incarnation than the known one, and must be told the known one
	configured         bool   // named by the configuration; never removed
	checkPings         int    // pings sent to check its death; see confirmDeath
	lastCheckPing      Micros // 0: none
}

// AddPeers adds the peers of the configuration. A peer without an ID is a seed, known by its address only.
func (m *Members) AddPeers(peers []Peer) {
	for _, peer := range peers {
		switch {
		case peer.ID == m.self.ID || peer.Address == m.self.Address:
		case peer.ID == noNode:
			m.addSeed(peer.Address)
		default:
			m.addConfigured(peer)
		}
	}
}

// addSeed adds the address of a seed. The IDs of seeds are learned from their acks.
func (m *Members) addSeed(address netip.AddrPort) {
	if !slices.Contains(m.seeds, address) {
		m.seeds = append(m.seeds, address)
	}
}

// addConfigured adds a peer of the configuration in state Unknown, or marks the member that is known already.
func (m *Members) addConfigured(peer Peer) {
	r := m.find(peer.ID)
	if r == nil {
		r = m.add(peer.ID)
		if r == nil {
			return
		}
		r.Address = peer.Address
	}
	r.configured = true
}

// find returns a known member, or nil.
func (m *Members) find(id NodeID) *knownMember {
	if i, found := m.search(id); found {
		return m.members[i]
	}
	return nil
}

// search returns the index of a member, or the index at which it would be inserted and false.
func (m *Members) search(id NodeID) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(r *knownMember, id NodeID) int { return cmp.Compare(r.ID, id) })
}

// add adds a member in state Unknown and returns it, or returns nil if the table is full. The member must not be
// known yet.
func (m *Members) add(id NodeID) *knownMember {
	if len(m.members) >= maxMembers {
		m.stats.TableFull++
		if !m.tableFullLogged {
			m.tableFullLogged = true
			m.output.Log("membership: member table is full, new members are not added",
				slog.Int("members", len(m.members)))
		}
		return nil
	}
	i, _ := m.search(id)
	r := &knownMember{Member: Member{Identity: Identity{ID: id}, Since: m.now}}
	m.members = slices.Insert(m.members, i, r)
	return r
}

// forgetEnded removes members that have been dead or departed for longer than forgetAfter, except those of the
// configuration. Dead members are kept until then because a partition may have separated them, see pingAbsent.
func (m *Members) forgetEnded() {
	m.members = slices.DeleteFunc(m.members, func(r *knownMember) bool {
		return !r.configured && (r.State == Dead || r.State == Left) && m.now-r.Since > forgetAfter
	})
}

// randomPresent returns a random present member, or nil. The table must not be empty.
func (m *Members) randomPresent() *knownMember {
	start := m.random.IntN(len(m.members))
	for i := range m.members {
		if r := m.members[(start+i)%len(m.members)]; r.State.Present() {
			return r
		}
	}
	return nil
}

// stride returns a step whose multiples modulo n are n different positions, if possible not in ascending order: the
// smallest number above n/2 that is coprime to n, or 1 if there is none below n.
func stride(n int) int {
	for step := n/2 + 1; step < n; step++ {
		if greatestCommonDivisor(step, n) == 1 {
			return step
		}
	}
	return 1
}

// greatestCommonDivisor computes the greatest common divisor by Euclid's algorithm.
func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
