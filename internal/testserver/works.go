package testserver

import (
	"net"
	"sync"
	"time"
)

// Work is one piece of shared work as a cache saw it: a probe, say.
type Work struct {
	What string // that it was done to
	By   net.Conn
	At   time.Time
}

// Works counts shared work over all stand-ins of a test, and who did it.
type Works struct {
	mu   sync.Mutex
	list []Work
}

// Note enters a piece of work.
func (w *Works) Note(what string, by net.Conn) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, Work{what, by, time.Now()})
}

// Account is what a period of shared work comes to.
type Account struct {
	Done    int           `json:"done"`
	Undone  int           `json:"left_undone"` // gaps longer than the most
	Twice   int           `json:"done_twice"`  // by another router within half a turn
	Longest time.Duration `json:"-"`
	Workers int           `json:"workers"`
}

// Account counts the works from one time to another: each thing was to be worked on once in every turn.
func (w *Works) Account(from, to time.Time, turn, most time.Duration) (a Account) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := map[string]Work{}
	workers := map[net.Conn]bool{}
	gap := func(since, until time.Time) {
		d := until.Sub(since)
		if a.Longest = max(a.Longest, d); d > most {
			a.Undone++
		}
	}
	for _, x := range w.list {
		if x.At.After(to) {
			break
		}
		before, seen := last[x.What]
		if last[x.What] = x; x.At.Before(from) {
			continue
		}
		a.Done++
		workers[x.By] = true
		if seen {
			gap(maxTime(before.At, from), x.At)
			if before.By != x.By && x.At.Sub(before.At) < turn/2 {
				a.Twice++
			}
		}
	}
	for _, x := range last {
		gap(maxTime(x.At, from), to)
	}
	a.Workers = len(workers)
	return a
}

// Since counts the works since a time.
func (w *Works) Since(since time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.list {
		if x.At.After(since) {
			n++
		}
	}
	return n
}

// Count counts the works on one thing since a time.
func (w *Works) Count(what string, since time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.list {
		if x.What == what && x.At.After(since) {
			n++
		}
	}
	return n
}

// Things counts what has been worked on since a time.
func (w *Works) Things(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[string]bool{}
	for _, x := range w.list {
		if x.At.After(since) {
			seen[x.What] = true
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
