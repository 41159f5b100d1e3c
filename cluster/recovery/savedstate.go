package recovery

import (
	"errors"
	"fmt"
	"log/slog"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// SavedState contains a router's records in the form in which they are written to a file, for its next incarnation.
// The records contain no copies, because the router may miss a purge while it is stopped.
type SavedState struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation // incarnation that saved it
	SavedAt     Micros                 // time since the Unix epoch, comparable between incarnations
	Records     []byte                 // encoded by directory.AppendRecord, with ages at SavedAt
}

const (
	maxSavedRecords = 1024              // maximum number of saved records
	maxSavedAge     = 10 * clock.Minute // age above which a saved state, or a record of it, is not used
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

// Save returns a state with the most requested records, for the caller to write to a file. It omits the records
// with an unknown request gap. now is the time since the Unix epoch.
func Save(now Micros, self membership.Identity, store Store) SavedState {
	s := SavedState{ID: self.ID, Incarnation: self.Incarnation, SavedAt: now}
	count := 0
	store.Hottest(func(r *directory.Record) bool {
		if r.RequestGap < directory.UnknownGap {
			withoutCopies := *r
			withoutCopies.Copies = [directory.MaxCopies]directory.Copy{}
			s.Records = directory.AppendRecord(s.Records, now, &withoutCopies)
			count++
		}
		return count < maxSavedRecords
	})
	return s
}

// Decode returns the records that this incarnation of the router may use, omitting records that are too old. now is
// the time since the Unix epoch. The error wraps ErrOtherRouter, ErrFromFuture, ErrTooOld or ErrDamaged.
func (s *SavedState) Decode(now Micros, self membership.Identity) (records []directory.Record, err error) {
	switch {
	case s.ID != self.ID:
		return nil, fmt.Errorf("%w: saved by router %x, this is router %x", ErrOtherRouter, s.ID, self.ID)
	case s.SavedAt > now+maxClockSetback || s.Incarnation >= self.Incarnation:
		return nil, fmt.Errorf("%w: saved at Unix time %.0f by incarnation %d, this is incarnation %d at Unix time %.0f",
			ErrFromFuture, s.SavedAt.Seconds(), s.Incarnation, self.Incarnation, now.Seconds())
	case now-s.SavedAt > maxSavedAge:
		return nil, fmt.Errorf("%w: saved %.0f s ago, limit %.0f s",
			ErrTooOld, (now - s.SavedAt).Seconds(), maxSavedAge.Seconds())
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

// Restore sets the records of the saved state, which the Manager owns from then on. Call it before the first Tick.
// The records are used after those of other routers, which have more recent observations.
func (m *Manager) Restore(records []directory.Record) {
	m.saved = records
	if len(records) > 0 {
		m.output.Log("recovery: the saved state can be used", slog.Int("records", len(records)))
	}
}

// outputSaved outputs the saved records that were not fetched, and releases them. It is called when fetching has
// ended, or when there is no router to fetch from.
func (m *Manager) outputSaved() {
	for i := range m.saved {
		r := &m.saved[i]
		if m.fetchedKeys[r.Key] {
			continue
		}
		m.stats.Restored++
		m.output.RecordRecovered(*r)
	}
	m.saved = nil
	m.fetchedKeys = nil
}
