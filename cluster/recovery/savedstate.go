package recovery

import (
	"errors"
	"log/slog"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// SavedState contains a router's records in the form in which they are written to a file, for its next incarnation.
// It contains no copies, because the router may miss a purge while it is stopped.
type SavedState struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation // incarnation that saved it
	SavedAt     Micros                 // time since the Unix epoch, comparable between incarnations
	Records     []byte                 // encoded by directory.AppendRecord
}

const (
	maxSavedRecords = 1024
	maxSavedAge     = 10 * clock.Minute
	// maxClockSetback is how far the clock may have been set back since a state was saved.
	maxClockSetback = clock.Second
)

// Errors of a saved state that can't be used. The router then recovers from other routers only.
var (
	ErrOtherRouter = errors.New("recovery: saved state of another router")
	ErrFromFuture  = errors.New("recovery: saved state has a later time or incarnation: " +
		"the clock was set back, or the file was replaced")
	ErrTooOld  = errors.New("recovery: saved state is too old")
	ErrDamaged = errors.New("recovery: saved state is corrupted")
)

// Save returns a state with the most requested records to be saved. now is the time since the Unix epoch.
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

// Decode returns the records that this incarnation of the router may use, omitting records that are too old. The
// error is ErrOtherRouter, ErrFromFuture, ErrTooOld or ErrDamaged.
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

// Restore sets the records of the saved state. Call it before the first Tick. They are used after the records of
// other routers, which have more recent observations.
func (m *Manager) Restore(records []directory.Record) {
	m.saved = records
	if len(records) > 0 {
		m.output.Log("recovery: the saved state can be used", slog.Int("records", len(records)))
	}
}

// useSaved outputs the saved records that were not fetched, after fetching has ended.
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
