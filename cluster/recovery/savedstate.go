package recovery

import (
	"errors"
	"log/slog"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// SavedState is the records that a router held, as they are written to a file: one more source for its next
// incarnation. It has no copies: a purge may have been missed that nobody will tell of again.
type SavedState struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation // that saved it
	SavedAt     Micros                 // since the Unix epoch, on the clock that all incarnations share
	Records     []byte                 // as directory.AppendRecord writes them
}

const (
	maxSavedRecords = 1024
	maxSavedAge     = 10 * clock.Minute
	// maxClockSetback is by how much the clock may have been set back since a state was saved.
	maxClockSetback = clock.Second
)

// Errors of a saved state that can't be used. The router then recovers from other routers alone.
var (
	ErrOtherRouter = errors.New("recovery: the saved state is another router's")
	ErrFromFuture  = errors.New("recovery: the saved state is of a later time or incarnation: " +
		"the clock was set back, or the file was replaced")
	ErrTooOld  = errors.New("recovery: the saved state is too old")
	ErrDamaged = errors.New("recovery: the saved state is damaged")
)

// Save makes a state to be saved of the most requested records. Now is the time since the Unix epoch.
func Save(now Micros, self membership.Identity, store Store) SavedState {
	s := SavedState{ID: self.ID, Incarnation: self.Incarnation, SavedAt: now}
	count := 0
	store.Hottest(func(r *directory.Record) bool {
		if r.RequestGap < directory.UnknownGap {
			bare := *r
			bare.Copies = [directory.MaxCopies]directory.Copy{}
			s.Records = directory.AppendRecord(s.Records, now, &bare)
			count++
		}
		return count < maxSavedRecords
	})
	return s
}

// Decode returns the records that this incarnation of a router may use, without those that are too old by now.
// The error is ErrOtherRouter, ErrFromFuture, ErrTooOld or ErrDamaged.
func (s *SavedState) Decode(now Micros, self membership.Identity) (records []directory.Record, err error) {
	switch {
	case s.ID != self.ID:
		return nil, ErrOtherRouter
	case s.SavedAt > now+maxClockSetback || s.Incarnation >= self.Incarnation:
		return nil, ErrFromFuture
	case now-s.SavedAt > maxSavedAge:
		return nil, ErrTooOld
	}
	in := octets.Reader{B: s.Records}
	for len(in.B) > 0 && !in.Bad {
		r := directory.ReadRecord(&in, s.SavedAt)
		r.Copies = [directory.MaxCopies]directory.Copy{}
		if now-r.UpdatedAt <= maxSavedAge {
			records = append(records, r)
		}
	}
	if in.Bad {
		return nil, ErrDamaged
	}
	return records, nil
}

// Restore gives this router the records of its saved state, before the first Tick. They are used after those of other
// routers, which know an object better that they have seen since.
func (m *Manager) Restore(records []directory.Record) {
	m.saved = records
	if len(records) > 0 {
		m.output.Log("recovery: the saved state can be used", slog.Int("records", len(records)))
	}
}

// useSaved hands out the saved records that were not fetched, once there is nobody left to be asked.
func (m *Manager) useSaved() {
	for i := range m.saved {
		r := &m.saved[i]
		if m.fetched[r.Key] {
			continue
		}
		m.stats.Restored++
		m.output.RecordRecovered(*r)
	}
	m.saved = nil
	m.fetched = nil
}
