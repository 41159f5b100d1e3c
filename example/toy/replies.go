package main

import (
	"fmt"
	"sync"
	"time"
)

// reply is how a cache answered a request.
type reply struct {
	cache  string
	source string // where it was told to fill a miss from
	status string // cache status, in the words of the cache protocol; empty: no copy was sent
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

// replyLog has the last reply to each request. All caches record at the same time.
type replyLog struct {
	mu        sync.Mutex
	byRequest map[string]reply // by trace id
}

func (l *replyLog) record(traceID string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byRequest[traceID] = r
}

// take returns the last reply to a request and forgets all replies: the client has one request at a time.
func (l *replyLog) take(traceID string) (reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byRequest[traceID]
	clear(l.byRequest)
	return r, ok
}
