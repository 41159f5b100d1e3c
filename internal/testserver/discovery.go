package testserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Discovery is a toy bulletin.
type Discovery struct {
	mu        sync.Mutex
	listener  net.Listener
	events    []string
	changed   chan struct{}
	pollCount int
	Intercept func(w http.ResponseWriter, r *http.Request, poll int) bool // takes a poll over; true: done with it
}

// StartDiscovery starts a bulletin at an address; port 0 takes any.
func StartDiscovery(address string) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Discovery{listener: l, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, b) }()
	return b, nil
}

// Address is where the bulletin listens.
func (b *Discovery) Address() string { return b.listener.Addr().String() }

// Announce adds an event: the JSON of its members after the number.
func (b *Discovery) Announce(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, fmt.Sprintf(`{"no":%d,%s}`, len(b.events)+1, event))
	close(b.changed)
	b.changed = make(chan struct{})
}

// EndpointJSON is one line of the list of caches.
func EndpointJSON(name, address, zone, kind, state string, boot int64) string {
	b, _ := json.Marshal(map[string]any{"uid": name, "endpoint": address, "az": zone, "model": kind, "pod_group": 0,
		"state": state, "capacity_hint": 1, "boot_ms": boot})
	return string(b)
}

// AnnounceEndpoints tells of caches, all or what has changed.
func (b *Discovery) AnnounceEndpoints(all bool, lines ...string) {
	b.Announce(fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, all, strings.Join(lines, ",")))
}

// AnnouncePurge tells of a purge of an object.
func (b *Discovery) AnnouncePurge(object string, at time.Time) {
	b.Announce(fmt.Sprintf(`"recall":{"item":%q,"issued":%d}`, object, at.UnixMilli()))
}

// InitialEvents gives the events up to now, as a router's configuration holds them.
func (b *Discovery) InitialEvents() string { return b.eventsAfter(0) }

// PollCount counts the requests so far.
func (b *Discovery) PollCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pollCount
}

func (b *Discovery) eventsAfter(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(b.events), strings.Join(b.events[min(n, len(b.events)):], ","))
}

func (b *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.pollCount++
	poll, news, have := b.pollCount, b.changed, len(b.events)
	b.mu.Unlock()
	if b.Intercept != nil && b.Intercept(w, r, poll) {
		return
	}
	n, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	if n >= have {
		select {
		case <-news:
		case <-time.After(time.Duration(patience) * time.Millisecond):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, b.eventsAfter(n))
}
