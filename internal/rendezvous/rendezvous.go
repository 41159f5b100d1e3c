// Package rendezvous ranks ids for a key by rendezvous hashing (highest random weight): adding or removing an id
// changes the first-ranked id only for the keys for which the added or removed id ranks first.
package rendezvous

import "threadrun/internal/hash"

// Ranking ranks ids and reuses its memory for the next ranking. It is not safe for concurrent use.
type Ranking[ID any] struct {
	ids    []ID
	scores []uint64 // of ids
}

// Rank returns ids sorted by their scores for a key, highest first. The score combines the key with the id's own hash,
// which hashOf returns. The result is valid until the next call of Rank.
func (r *Ranking[ID]) Rank(key uint64, ids []ID, hashOf func(ID) uint64) []ID {
	r.ids, r.scores = r.ids[:0], r.scores[:0]
	for _, id := range ids {
		score := hash.Combine(key, hashOf(id))
		i := len(r.ids)
		r.ids, r.scores = append(r.ids, id), append(r.scores, score)
		for ; i > 0 && r.scores[i-1] < score; i-- {
			r.ids[i], r.scores[i] = r.ids[i-1], r.scores[i-1]
		}
		r.ids[i], r.scores[i] = id, score
	}
	return r.ids
}
