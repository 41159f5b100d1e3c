package main

import (
	"fmt"
	"sync"
	"time"
)

// reply describes how a cache answered a request.
type reply struct {
	cache  string
	source string // source that the request named for a fill
	status string // cache status in the cache protocol; empty: no copy was sent
	age    time.Duration
}

// String describes a reply by its cache, by hit or fill, and by the age of the copy.
func (r reply) String() string {
	switch r.status {
	case "hit":
		return fmt.Sprintf("%s hit, age %.1f s", r.cache, r.age.Seconds())
	case "stale":
		return fmt.Sprintf("%s hit, stale, age %.1f s", r.cache, r.age.Seconds())
	case "filled":
		return fmt.Sprintf("%s filled from %s, age %.1f s", r.cache, r.source, r.age.Seconds())
	}
	return r.cache + " sent no copy"
}

// replyLog contains the last reply to each request. It is safe for concurrent use, because every cache records
// replies.
type replyLog struct {
	mu        sync.Mutex
	byRequest map[string]reply // by trace id
}

// record stores a reply. It replaces an earlier reply to the same request.
func (l *replyLog) record(traceID string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byRequest[traceID] = r
}

// take returns the last reply to a request, and false if there is none. It removes all replies, because the client
// has only one open request at a time.
func (l *replyLog) take(traceID string) (reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byRequest[traceID]
	clear(l.byRequest)
	return r, ok
}
