package recovery

import (
	"errors"
	"fmt"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// SavedState is a snapshot of the rows that a router held: one more source for its next life. It carries no copies: a purge may have passed that
// nobody will tell of again.
type SavedState struct {
	ID          membership.NodeID
	Incarnation membership.Incarnation // that wrote it
	SavedAt     Micros                 // when, on the clock that all lives share (Unix time)
	Records     []byte
}

const (
	keptMost  = 1024 // rows, the most asked first
	keptOld   = 10 * clock.Minute
	keptAhead = clock.Second // that a clock may have been set back
)

// Refusals of a snapshot. All are told in one line; the router then recalls from the others alone.
var (
	ErrOtherRouter = errors.New("comeback: the snapshot is another router's")
	ErrFromFuture  = errors.New("comeback: the snapshot is of a later time or life: the clock was set back, or it was swapped")
	ErrTooOld      = errors.New("comeback: the snapshot is too old")
	ErrDamaged     = errors.New("comeback: the snapshot is damaged")
)

// Save makes a snapshot of rows, the most asked first.
func Save(now Micros, self membership.Identity, rows Source) SavedState {
	k := SavedState{ID: self.ID, Incarnation: self.Incarnation, SavedAt: now}
	n := 0
	rows.Hottest(func(r *directory.Record) bool {
		if r.RequestGap < directory.UnknownGap {
			bare := *r
			bare.Copies = [directory.MaxCopies]directory.Copy{}
			k.Records = directory.AppendRecord(k.Records, now, &bare)
			n++
		}
		return n < keptMost
	})
	return k
}

// Decode gives the rows of a snapshot that a life of a router may use: all of them as the time that has passed since leaves them, or none.
func (k *SavedState) Decode(now Micros, self membership.Identity) (rows []directory.Record, err error) {
	switch {
	case k.ID != self.ID:
		return nil, ErrOtherRouter
	case k.SavedAt > now+keptAhead || k.Incarnation >= self.Incarnation:
		return nil, ErrFromFuture
	case now-k.SavedAt > keptOld:
		return nil, ErrTooOld
	}
	r := octets.Reader{B: k.Records}
	for len(r.B) > 0 && !r.Bad {
		x := directory.ReadRecord(&r, k.SavedAt)
		x.Copies = [directory.MaxCopies]directory.Copy{}
		if now-x.UpdatedAt <= keptOld {
			rows = append(rows, x)
		}
	}
	if r.Bad {
		return nil, ErrDamaged
	}
	return rows, nil
}

// Restore gives the rows of a snapshot to this router. It is called before the first Tick. They come after those of the others: of an object
// that somebody goes on seeing, that one knows better.
func (c *Manager) Restore(rows []directory.Record) {
	c.kept = rows
	if len(rows) > 0 {
		c.post.Note(fmt.Sprintf("comeback: %d rows of the life before are at hand", len(rows)))
	}
}

// restore hands out what is left of the snapshot once nobody is left to ask.
func (c *Manager) restore() {
	for i := range c.kept {
		if r := &c.kept[i]; !c.had[r.Key] {
			c.tally.Restored++
			c.post.RecordRecovered(*r)
		}
	}
	c.kept, c.had = nil, nil
}
