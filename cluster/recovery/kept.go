package recovery

import (
	"errors"
	"fmt"

	"threadrun/cluster/directory"
	"threadrun/cluster/membership"
	"threadrun/internal/clock"
	"threadrun/internal/octets"
)

// Kept is a snapshot of the rows that a router held: one more source for its next life. It carries no copies: a purge may have passed that
// nobody will tell of again.
type Kept struct {
	Mark membership.Mark
	Life membership.Life // that wrote it
	At   Micros          // when, on the clock that all lives share (Unix time)
	Rows []byte
}

const (
	keptMost  = 1024 // rows, the most asked first
	keptOld   = 10 * clock.Minute
	keptAhead = clock.Second // that a clock may have been set back
)

// Refusals of a snapshot. All are told in one line; the router then recalls from the others alone.
var (
	ErrAnothers = errors.New("comeback: the snapshot is another router's")
	ErrLater    = errors.New("comeback: the snapshot is of a later time or life: the clock was set back, or it was swapped")
	ErrOld      = errors.New("comeback: the snapshot is too old")
	ErrDamaged  = errors.New("comeback: the snapshot is damaged")
)

// Keep makes a snapshot of rows, the most asked first.
func Keep(now Micros, self membership.Self, rows Rows) Kept {
	k := Kept{Mark: self.Mark, Life: self.Life, At: now}
	n := 0
	rows.Hottest(func(r *directory.Row) bool {
		if r.Gap < directory.GapUnknown {
			bare := *r
			bare.Copies = [directory.CopiesMost]directory.Copy{}
			k.Rows = directory.AppendRow(k.Rows, now, &bare)
			n++
		}
		return n < keptMost
	})
	return k
}

// Read gives the rows of a snapshot that a life of a router may use: all of them as the time that has passed since leaves them, or none.
func (k *Kept) Read(now Micros, self membership.Self) (rows []directory.Row, err error) {
	switch {
	case k.Mark != self.Mark:
		return nil, ErrAnothers
	case k.At > now+keptAhead || k.Life >= self.Life:
		return nil, ErrLater
	case now-k.At > keptOld:
		return nil, ErrOld
	}
	r := octets.Reader{B: k.Rows}
	for len(r.B) > 0 && !r.Bad {
		x := directory.ReadRow(&r, k.At)
		x.Copies = [directory.CopiesMost]directory.Copy{}
		if now-x.Told <= keptOld {
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
func (c *Comeback) Restore(rows []directory.Row) {
	c.kept = rows
	if len(rows) > 0 {
		c.post.Note(fmt.Sprintf("comeback: %d rows of the life before are at hand", len(rows)))
	}
}

// restore hands out what is left of the snapshot once nobody is left to ask.
func (c *Comeback) restore() {
	for i := range c.kept {
		if r := &c.kept[i]; !c.had[r.Key] {
			c.tally.Restored++
			c.post.Recalled(*r)
		}
	}
	c.kept, c.had = nil, nil
}
