// Package rendezvous ranks ids for a key by rendezvous hashing (highest random weight): adding or removing an id
// changes the first rank of only its own keys.
package rendezvous

import "threadrun/internal/hash"

// Ranking ranks ids and reuses its memory. It is not safe for concurrent use.
type Ranking[ID any] struct {
	ids    []ID
	scores []uint64
}

// Rank returns ids sorted for a key, best first. hashOf returns an id's own hash. The result is valid until the next
// call.
func (o *Ranking[ID]) Rank(key uint64, ids []ID, hashOf func(ID) uint64) []ID {
	o.ids, o.scores = o.ids[:0], o.scores[:0]
	for _, id := range ids {
		s := hash.Combine(key, hashOf(id))
		i := len(o.ids)
		o.ids, o.scores = append(o.ids, id), append(o.scores, s)
		for ; i > 0 && o.scores[i-1] < s; i-- {
			o.ids[i], o.scores[i] = o.ids[i-1], o.scores[i-1]
		}
		o.ids[i], o.scores[i] = id, s
	}
	return o.ids
}
