package membership

import (
	"cmp"
	"log/slog"
	"net/netip"
	"slices"

	"threadrun/internal/clock"
)

const (
	maxMembers  = 4096
	maxAccusers = 4 // recorded per suspect
	maxWeight   = 1 << 12
	forgetAfter = 10 * clock.Minute
)

// knownMember is the state that this router keeps about one member.
type knownMember struct {
	Member
	refutations    Refutations
	accusers       [maxAccusers]NodeID
	accuserCount   int
	transmissions  int    // how often its state is still to be sent by gossip
	urgent         bool   // its queued change is a suspicion, a refutation or a departure; sent first
	lastDatagram   uint64 // number of the last datagram that contained its state
	oldIncarnation bool   // it used an earlier incarnation and must be sent the later one
	configured     bool   // named by the configuration; never forgotten
	checkPings     int    // pings sent to check its death; see confirmDeath
	lastCheckPing  Micros
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

func (m *Members) addSeed(address netip.AddrPort) {
	if !slices.Contains(m.seeds, address) {
		m.seeds = append(m.seeds, address)
	}
}

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

func (m *Members) search(id NodeID) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(r *knownMember, id NodeID) int { return cmp.Compare(r.ID, id) })
}

// add adds a member and returns it, or returns nil if the table is full.
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

// forget removes members that ended long ago, except those of the configuration.
func (m *Members) forget() {
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

// stride returns a step by which a walk reaches each of n positions once, but not in neighboring order.
func stride(n int) int {
	for step := n/2 + 1; step < n; step++ {
		if greatestCommonDivisor(step, n) == 1 {
			return step
		}
	}
	return 1
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
