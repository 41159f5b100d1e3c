package testserver

import (
	"net"
	"sync"
	"time"
)

// WorkItem is one piece of shared work as a cache saw it: a probe, say.
type WorkItem struct {
	Target string // that it was done to
	By     net.Conn
	At     time.Time
}

// WorkLog counts shared work over all stand-ins of a test, and who did it.
type WorkLog struct {
	mu    sync.Mutex
	items []WorkItem
}

// Record enters a piece of work.
func (w *WorkLog) Record(what string, by net.Conn) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.items = append(w.items, WorkItem{what, by, time.Now()})
}

// WorkStats is what a period of shared work comes to.
type WorkStats struct {
	Done       int           `json:"done"`
	Gaps       int           `json:"left_undone"` // gaps longer than the most
	Duplicates int           `json:"done_twice"`  // by another router within half a turn
	LongestGap time.Duration `json:"-"`
	Workers    int           `json:"workers"`
}

// Stats counts the works from one time to another: each thing was to be worked on once in every turn.
func (w *WorkLog) Stats(from, to time.Time, turn, most time.Duration) (a WorkStats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := map[string]WorkItem{}
	workers := map[net.Conn]bool{}
	gap := func(since, until time.Time) {
		d := until.Sub(since)
		if a.LongestGap = max(a.LongestGap, d); d > most {
			a.Gaps++
		}
	}
	for _, x := range w.items {
		if x.At.After(to) {
			break
		}
		before, seen := last[x.Target]
		if last[x.Target] = x; x.At.Before(from) {
			continue
		}
		a.Done++
		workers[x.By] = true
		if seen {
			gap(maxTime(before.At, from), x.At)
			if before.By != x.By && x.At.Sub(before.At) < turn/2 {
				a.Duplicates++
			}
		}
	}
	for _, x := range last {
		gap(maxTime(x.At, from), to)
	}
	a.Workers = len(workers)
	return a
}

// CountSince counts the works since a time.
func (w *WorkLog) CountSince(since time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.items {
		if x.At.After(since) {
			n++
		}
	}
	return n
}

// CountTarget counts the works on one thing since a time.
func (w *WorkLog) CountTarget(what string, since time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.items {
		if x.Target == what && x.At.After(since) {
			n++
		}
	}
	return n
}

// DistinctTargets counts what has been worked on since a time.
func (w *WorkLog) DistinctTargets(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[string]bool{}
	for _, x := range w.items {
		if x.At.After(since) {
			seen[x.Target] = true
		}
	}
	return len(seen)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
