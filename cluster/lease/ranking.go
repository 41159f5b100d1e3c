package lease

import (
	"math"
	"slices"

	"threadrun/internal/hash"
)

const rankingSize = 8 // number of members that may come to hold one lease

// ranking lists the members that rank first for a lease, best first.
type ranking struct {
	known  bool // the ranking has been computed
	count  int
	peers  [rankingSize]*peer
	scores [rankingSize]float64
}

// insert inserts a member at its rank if it is among the best.
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

// score returns a member's score for a lease by weighted rendezvous hashing. With equal weights it omits the
// logarithm, which does not change the order.
func score(id ID, p *peer, equalWeights bool) float64 {
	u := (float64(hashRank(id, p.holder)>>11) + 0.5) / (1 << 53)
	if equalWeights {
		return u
	}
	return float64(p.Weight) / -math.Log(u)
}

func hashRank(id ID, holder Holder) uint64 { return hash.Combine(uint64(id), uint64(holder)) }

// ranking returns the ranking for a lease. It is computed at the first call and updated from then on.
func (mgr *Manager) ranking(id ID) *ranking {
	r := &mgr.rankings[id]
	if !r.known {
		*r = ranking{known: true}
		for _, p := range mgr.peers {
			r.insert(p, score(id, p, mgr.equalWeights))
		}
	}
	return r
}

// updateRankings updates the rankings after a member was removed and, unless added is nil, replaced by another.
func (mgr *Manager) updateRankings(added, removed *peer) {
	equalWeights := !slices.ContainsFunc(mgr.peers, func(p *peer) bool { return p.Weight != mgr.peers[0].Weight })
	for id := range mgr.rankings {
		r := &mgr.rankings[id]
		if equalWeights != mgr.equalWeights || slices.Contains(r.peers[:r.count], removed) {
			r.known = false
		} else if r.known && added != nil {
			r.insert(added, score(ID(id), added, mgr.equalWeights))
		}
	}
	mgr.equalWeights = equalWeights
}
