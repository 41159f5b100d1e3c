package cluster

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"threadrun/cluster/lease"
)

// Ledger counts the work on duties as someone would who sees all routers.
type Ledger struct {
	Takeover    *hdrhistogram.Histogram // milliseconds from a holder's death to the next holder's first work
	LeftUndone  int                     // gaps of over three seconds between two works on a duty
	Done, Twice int                     // works; and works on a duty for whose turn another router had done it
	Forbidden   int                     // works let in that may not run twice
	Refused     int                     // such works handed in, and not let in
	FalseDeaths int
	Past        int   // works under a term after one under a higher term
	WholeView   int64 // ms from the restart of many until all that run know all that run; -1: not yet, 0: none restarted
	Moved, Own  int   // duties that changed hands after a death, each once, and those of the dead

	every Micros
	duty  []worked
	moved []bool // since the last death
	open  bool   // it is being watched
}

// worked is what has been done on one duty.
type worked struct {
	last   Micros
	by     int
	turn   int64
	turnBy int
	term   lease.Term
	died   Micros // when its holder was killed; 0: not
	begun  bool
	mine   map[int]int64 // the turn that each router did last
	holder int           // who took it last
}

func newLedger(all int, every Micros) *Ledger {
	l := &Ledger{Takeover: hdrhistogram.New(1, 600_000, 3), every: every, duty: make([]worked, all), moved: make([]bool, all)}
	for i := range l.duty {
		l.duty[i].mine, l.duty[i].holder = map[int]int64{}, -1
	}
	return l
}

// due tells whether a router has not yet done this turn's work on a duty.
func (l *Ledger) due(no lease.ID, node int, now Micros) bool {
	last, ok := l.duty[no].mine[node]
	return !ok || last < int64(now/l.every)
}

// done notes a work on a duty.
func (l *Ledger) done(no lease.ID, node int, term lease.Term, now Micros) {
	w := &l.duty[no]
	turn := int64(now / l.every)
	w.mine[node] = turn
	l.Done++
	if w.begun {
		if w.turn == turn && w.turnBy != node {
			l.Twice++
		}
		if now-w.last > gapMost {
			l.LeftUndone++
		}
		if term < w.term {
			l.Past++
		}
	}
	if w.died > 0 {
		_ = l.Takeover.RecordValue(int64((now - w.died) / 1000))
		w.died = 0
	}
	w.begun, w.last, w.by, w.turn, w.turnBy, w.term = true, now, node, turn, node, max(term, w.term)
}

// took notes that a router has taken a duty.
func (l *Ledger) took(no lease.ID, node int, _ lease.Term) {
	w := &l.duty[no]
	if l.open && w.holder != node && !l.moved[no] {
		l.moved[no] = true
		l.Moved++
	}
	w.holder = node
}

// killed notes the death of a router.
func (l *Ledger) killed(node int, now Micros) {
	for i := range l.duty {
		if w := &l.duty[i]; w.begun && w.by == node {
			w.died = now
			l.Own++
		}
	}
	l.open = true
	clear(l.moved)
}

// Settle ends the watch over a death: what moves from now on has other reasons.
func (l *Ledger) Settle() { l.open = false }

// Gaps counts the duties on which nobody has worked for over three seconds now.
func (l *Ledger) Gaps(now Micros) (n int) {
	for i := range l.duty {
		if w := &l.duty[i]; w.begun && now-w.last > gapMost {
			n++
		}
	}
	return n
}
