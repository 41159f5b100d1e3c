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

// Discovery is a discovery server: it announces endpoints and purges as numbered events, to long polls.
type Discovery struct {
	mu        sync.Mutex
	listener  net.Listener
	events    []string
	changed   chan struct{}
	pollCount int
	// Intercept is called with each poll and its number, from 1 on; true: it has answered the poll.
	Intercept func(w http.ResponseWriter, r *http.Request, poll int) bool
}

// StartDiscovery starts a discovery server at an address; with port 0, at any free one.
func StartDiscovery(address string) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: l, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// Address is where the server listens.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Announce adds an event, given as the JSON of its members after the number.
func (d *Discovery) Announce(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf(`{"no":%d,%s}`, len(d.events)+1, event))
	close(d.changed)
	d.changed = make(chan struct{})
}

// EndpointJSON is one endpoint of an endpoint list; started is in Unix milliseconds, 0: long ago.
func EndpointJSON(name, address, zone, kind, state string, started int64) string {
	b, _ := json.Marshal(map[string]any{"uid": name, "endpoint": address, "az": zone, "model": kind, "pod_group": 0,
		"state": state, "capacity_hint": 1, "boot_ms": started})
	return string(b)
}

// AnnounceEndpoints announces endpoints: all that there are, or those that have changed.
func (d *Discovery) AnnounceEndpoints(complete bool, lines ...string) {
	d.Announce(fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, complete, strings.Join(lines, ",")))
}

// AnnouncePurge announces a purge of an object, issued at a time.
func (d *Discovery) AnnouncePurge(object string, at time.Time) {
	d.Announce(fmt.Sprintf(`"recall":{"item":%q,"issued":%d}`, object, at.UnixMilli()))
}

// InitialEvents gives the events up to now, as a router's configuration holds them.
func (d *Discovery) InitialEvents() string { return d.eventsAfter(0) }

// PollCount counts the polls so far.
func (d *Discovery) PollCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pollCount
}

// eventsAfter is an answer with the events after number n.
func (d *Discovery) eventsAfter(n int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(d.events), strings.Join(d.events[min(n, len(d.events)):], ","))
}

// ServeHTTP answers a poll; one that nothing is there for is held until an event comes or its time is over.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.pollCount++
	poll := d.pollCount
	changed := d.changed
	newest := len(d.events)
	d.mu.Unlock()
	if d.Intercept != nil && d.Intercept(w, r, poll) {
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	if after >= newest {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMillis) * time.Millisecond):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprint(w, d.eventsAfter(after))
}
