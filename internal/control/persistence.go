package control

import (
	"errors"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/recovery"
	"threadrun/internal/clock"
	"threadrun/internal/snapshot"
)

// saveInterval is the minimum time between two snapshot files. It equals the interval at which routers repeat their
// reports of an object to the directory.
const saveInterval = 5 * clock.Second

// restore loads the records of this router's previous incarnation from its snapshot file. If no file is usable, records
// come from other routers only.
func (c *Controller) restore(now Micros) {
	self := c.node.Membership.Self().Identity
	saved, err := snapshot.Load(c.config.SnapshotDir, self.ID)
	if errors.Is(err, snapshot.ErrNotFound) {
		return
	}
	if err != nil {
		c.logUnusedSnapshot(err)
		return
	}
	records, err := saved.Decode(now, self)
	if err != nil {
		c.logUnusedSnapshot(err)
		return
	}
	c.node.Recovery.Restore(records)
}

func (c *Controller) logUnusedSnapshot(err error) {
	c.log.WithError(err).Warn("snapshot: not used, records come from other routers only")
}

// saveRecords passes the records to the recordSaver when a snapshot file is due and the state of recovery permits it.
func (c *Controller) saveRecords(now Micros) {
	if c.saver == nil || !c.saver.due(now) || !c.node.Recovery.Permissions().ServeRecords {
		return
	}
	c.saver.offer(now, recovery.Save(now, c.node.Membership.Self().Identity, c.node.Directory))
}

// recordSaver writes snapshot files of the records on its own goroutine, so that a slow disk does not delay ticks. Only
// run executes on that goroutine; the control goroutine calls the other methods. Nothing waits for run to end, because
// an unfinished file is never loaded.
type recordSaver struct {
	dir       string
	log       *logrus.Logger
	states    chan recovery.SavedState // unbuffered: a state is accepted only while run is idle
	lastOffer Micros
}

func newRecordSaver(dir string, log *logrus.Logger, now Micros) *recordSaver {
	return &recordSaver{dir: dir, log: log, states: make(chan recovery.SavedState), lastOffer: now}
}

// due reports whether saveInterval has passed since the last offer.
func (s *recordSaver) due(now Micros) bool { return now-s.lastOffer >= saveInterval }

// offer passes a state to run, or drops it if run is still writing another one. It never blocks.
func (s *recordSaver) offer(now Micros, state recovery.SavedState) {
	s.lastOffer = now
	select {
	case s.states <- state:
	default:
	}
}

// close makes run return after the write in progress.
func (s *recordSaver) close() { close(s.states) }

// run writes the offered states until close. It logs the first of consecutive failures, and the first success after
// them.
func (s *recordSaver) run() {
	failing := false
	for state := range s.states {
		err := snapshot.Save(s.dir, state)
		switch {
		case err != nil && !failing:
			s.log.WithError(err).Warn("snapshot: write failed")
		case err == nil && failing:
			s.log.Warn("snapshot: writing succeeds again")
		}
		failing = err != nil
	}
}
