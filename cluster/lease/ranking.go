package lease

import (
	"math"
	"slices"

	"threadrun/internal/hash"
)

// rankingSize is the number of members ranked for each lease. Only these may claim it while it is vacant.
const rankingSize = 8

// ranking lists the members with the highest scores for a lease, best first. While computed is set, it equals a
// ranking computed from all peers.
type ranking struct {
	computed bool // false: the other fields are outdated
	count    int  // entries used of peers and scores
	peers    [rankingSize]*peer
	scores   [rankingSize]float64 // descending
}

// insert inserts a member at its rank if it is among the best rankingSize.
func (r *ranking) insert(p *peer, score float64) {
	if r.count == rankingSize && score <= r.scores[rankingSize-1] {
		return
	}
	r.count = min(r.count+1, rankingSize)
	i := r.count - 1
	for ; i > 0 && r.scores[i-1] < score; i-- {
		r.scores[i], r.peers[i] = r.scores[i-1], r.peers[i-1]
	}
	r.scores[i], r.peers[i] = score, p
}

// score returns a member's score for a lease by weighted rendezvous hashing: -weight / ln(u), where u is a hash of
// the lease and the member, mapped to the interval (0, 1). Each member then ranks first for a share of the leases
// that is proportional to its weight. If all weights are equal, score returns u, which gives the same order without
// the cost of the logarithm.
func score(id ID, p *peer, equalWeights bool) float64 {
	u := (float64(rankHash(id, p.holder)>>11) + 0.5) / (1 << 53)
	if equalWeights {
		return u
	}
	return float64(p.Weight) / -math.Log(u)
}

// rankHash returns the hash that ranks a holder for a lease. It is the same at every router.
func rankHash(id ID, holder Holder) uint64 { return hash.Combine(uint64(id), uint64(holder)) }

// ranking returns the ranking for a lease, and computes it if it is outdated.
func (mgr *Manager) ranking(id ID) *ranking {
	r := &mgr.rankings[id]
	if !r.computed {
		*r = ranking{computed: true}
		for _, p := range mgr.peers {
			r.insert(p, score(id, p, mgr.equalWeights))
		}
	}
	return r
}

// updateRankings updates the rankings after a peer was removed and, unless added is nil, replaced by another. A
// ranking that contained the removed peer is computed again at its next use, because the member that moves up is
// not known. If the weights have become equal or unequal, all rankings are computed again, because all scores
// change.
func (mgr *Manager) updateRankings(added, removed *peer) {
	equalWeights := !slices.ContainsFunc(mgr.peers, func(p *peer) bool { return p.Weight != mgr.peers[0].Weight })
	for id := range mgr.rankings {
		r := &mgr.rankings[id]
		if equalWeights != mgr.equalWeights || slices.Contains(r.peers[:r.count], removed) {
			r.computed = false
		} else if r.computed && added != nil {
			r.insert(added, score(ID(id), added, mgr.equalWeights))
		}
	}
	mgr.equalWeights = equalWeights
}
