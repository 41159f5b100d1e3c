package testserver

import (
	"net"
	"sync"
	"time"
)

// WorkItem is a unit of the background work that routers share, as observed by a cache: a health check or a refresh.
type WorkItem struct {
	Target string   // the cache, or the object and part
	By     net.Conn // the connection over which a router performed it
	At     time.Time
}

// WorkLog records the background work observed by the caches of a test. Record on a nil WorkLog does nothing.
type WorkLog struct {
	mu    sync.Mutex // guards items
	items []WorkItem
}

// Record adds a unit of work on a target, which a router performed over the connection by.
func (w *WorkLog) Record(target string, by net.Conn) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.items = append(w.items, WorkItem{Target: target, By: by, At: time.Now()})
}

// WorkStats counts the background work of a period.
type WorkStats struct {
	Tasks       int           `json:"tasks"`
	LongGaps    int           `json:"long_gaps"`  // gaps between work on a target that are longer than permitted
	Duplicates  int           `json:"duplicates"` // repeats by another router within half an interval
	LongestGap  time.Duration `json:"-"`
	Connections int           `json:"workers"` // connections over which work was requested
}

// Stats counts the work in a period. Each target is due once per interval; gaps longer than maxGap are counted. A
// gap is the time between two units of work on a target, or from the last one to the end of the period. The time
// before the period does not count, nor does the time before the first recorded work on a target.
func (w *WorkLog) Stats(from, to time.Time, interval, maxGap time.Duration) (stats WorkStats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := map[string]WorkItem{}
	workers := map[net.Conn]bool{}
	countGap := func(since, until time.Time) {
		length := until.Sub(since)
		stats.LongestGap = max(stats.LongestGap, length)
		if length > maxGap {
			stats.LongGaps++
		}
	}
	for _, item := range w.items {
		if item.At.After(to) {
			break
		}
		previous, found := last[item.Target]
		last[item.Target] = item
		if item.At.Before(from) {
			continue
		}
		stats.Tasks++
		workers[item.By] = true
		if found {
			countGap(maxTime(previous.At, from), item.At)
			if previous.By != item.By && item.At.Sub(previous.At) < interval/2 {
				stats.Duplicates++
			}
		}
	}
	for _, item := range last {
		countGap(maxTime(item.At, from), to)
	}
	stats.Connections = len(workers)
	return stats
}

// CountSince returns the number of units of work after the given time.
func (w *WorkLog) CountSince(since time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range w.items {
		if item.At.After(since) {
			n++
		}
	}
	return n
}

// CountTarget returns the number of units of work on one target after the given time.
func (w *WorkLog) CountTarget(target string, since time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range w.items {
		if item.Target == target && item.At.After(since) {
			n++
		}
	}
	return n
}

// DistinctTargets returns the number of targets with work after the given time.
func (w *WorkLog) DistinctTargets(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	targets := map[string]bool{}
	for _, item := range w.items {
		if item.At.After(since) {
			targets[item.Target] = true
		}
	}
	return len(targets)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
