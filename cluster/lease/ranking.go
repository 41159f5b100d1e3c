package lease

import (
	"math"
	"slices"

	"threadrun/internal/hash"
)

const rankingSize = 8 // members that may come to hold one lease

// ranking is the members that rank first for a lease, the best first.
type ranking struct {
	known  bool // it was worked out
	count  int
	peers  [rankingSize]*peer
	scores [rankingSize]float64
}

// insert puts a member in its place, if it is among the best.
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

// score ranks a member for a lease by weighted rendezvous hashing. With equal weights the logarithm is left out: it
// changes no order.
func score(id ID, p *peer, equalWeights bool) float64 {
	u := (float64(hashRank(id, p.holder)>>11) + 0.5) / (1 << 53)
	if equalWeights {
		return u
	}
	return float64(p.Weight) / -math.Log(u)
}

func hashRank(id ID, holder Holder) uint64 { return hash.Combine(uint64(id), uint64(holder)) }

// ranking returns the ranking for a lease, which is worked out at the first call and kept up to date from then on.
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

// updateRankings keeps the rankings up to date after one member came (or nil) and one went.
func (mgr *Manager) updateRankings(came, went *peer) {
	equalWeights := !slices.ContainsFunc(mgr.peers, func(p *peer) bool { return p.Weight != mgr.peers[0].Weight })
	for id := range mgr.rankings {
		r := &mgr.rankings[id]
		if equalWeights != mgr.equalWeights || slices.Contains(r.peers[:r.count], went) {
			r.known = false
		} else if r.known && came != nil {
			r.insert(came, score(ID(id), came, mgr.equalWeights))
		}
	}
	mgr.equalWeights = equalWeights
}
