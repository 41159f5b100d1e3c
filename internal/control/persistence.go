package control

import (
	"errors"

	"github.com/sirupsen/logrus"

	"threadrun/cluster/recovery"
	"threadrun/internal/clock"
	"threadrun/internal/snapshot"
)

// saveInterval is the minimum time between two snapshots. It equals the interval at which routers repeat their reports
// of an object to the directory.
const saveInterval = 5 * clock.Second

// restore loads the records of this router's previous incarnation from the snapshot. If there is no usable snapshot,
// records come from other routers only.
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

// saveSnapshot passes the records to the snapshot writer when a snapshot is due and the recovery's state permits it.
func (c *Controller) saveSnapshot(now Micros) {
	if c.saver == nil || !c.saver.due(now) || !c.node.Recovery.Permissions().ServeRecords {
		return
	}
	c.saver.offer(now, recovery.Save(now, c.node.Membership.Self().Identity, c.node.Directory))
}

// snapshotSaver writes snapshots of the records on its own goroutine, so that a slow disk does not delay ticks. Only
// run executes on that goroutine; the control goroutine calls the other methods. Nothing waits for run to end, because
// an unfinished file is never loaded.
type snapshotSaver struct {
	dir       string
	log       *logrus.Logger
	queue     chan recovery.SavedState // unbuffered: a state is accepted only while run is idle
	lastOffer Micros
}

func newSnapshotSaver(dir string, log *logrus.Logger, now Micros) *snapshotSaver {
	return &snapshotSaver{dir: dir, log: log, queue: make(chan recovery.SavedState), lastOffer: now}
}

// due reports whether saveInterval has passed since the last offer.
func (s *snapshotSaver) due(now Micros) bool { return now-s.lastOffer >= saveInterval }

// offer passes a state to run, or drops it while another one is being written. It never blocks.
func (s *snapshotSaver) offer(now Micros, state recovery.SavedState) {
	s.lastOffer = now
	select {
	case s.queue <- state:
	default:
	}
}

// close makes run return after the snapshot in progress.
func (s *snapshotSaver) close() { close(s.queue) }

// run writes the offered states until close. It logs the first failure of a series, and the first success after it.
func (s *snapshotSaver) run() {
	failing := false
	for state := range s.queue {
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
