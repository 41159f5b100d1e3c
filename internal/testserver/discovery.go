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

// Discovery is a discovery server. It announces endpoints and purges as numbered events to long polls.
type Discovery struct {
	mu        sync.Mutex // guards events, changed and pollCount
	listener  net.Listener
	events    []string      // JSON objects; the number of an event is its index + 1
	changed   chan struct{} // closed and replaced when an event is added
	pollCount int
	// Intercept, if set, is called with each poll and its number, which starts at 1. It returns true if it has
	// answered the poll.
	Intercept func(w http.ResponseWriter, r *http.Request, poll int) bool
}

// StartDiscovery starts a discovery server at an address; port 0 selects a free port.
func StartDiscovery(address string) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: l, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// Address returns the address of the listener.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Announce adds an event and wakes the waiting polls. event contains the JSON members that follow the event's number.
func (d *Discovery) Announce(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf(`{"no":%d,%s}`, len(d.events)+1, event))
	close(d.changed)
	d.changed = make(chan struct{})
}

// EndpointJSON returns an entry of an endpoint list. started is the time of the last start in Unix milliseconds; 0
// means long ago.
func EndpointJSON(name, address, zone, kind, state string, started int64) string {
	b, _ := json.Marshal(map[string]any{"uid": name, "endpoint": address, "az": zone, "model": kind, "pod_group": 0,
		"state": state, "capacity_hint": 1, "boot_ms": started})
	return string(b)
}

// AnnounceEndpoints announces entries of the endpoint list, in the format of EndpointJSON. If complete is set, they
// replace the list; otherwise they are changes to it.
func (d *Discovery) AnnounceEndpoints(complete bool, entries ...string) {
	d.Announce(fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, complete, strings.Join(entries, ",")))
}

// AnnouncePurge announces a purge of an object that was issued at the given time.
func (d *Discovery) AnnouncePurge(object string, at time.Time) {
	d.Announce(fmt.Sprintf(`"recall":{"item":%q,"issued":%d}`, object, at.UnixMilli()))
}

// InitialEvents returns all events announced so far, in the format of the value of "known" in a router's configuration.
func (d *Discovery) InitialEvents() string { return d.eventsAfter(0) }

// PollCount returns the number of polls received.
func (d *Discovery) PollCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pollCount
}

// eventsAfter returns the answer to a poll for the events after number n.
func (d *Discovery) eventsAfter(n int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(d.events), strings.Join(d.events[min(n, len(d.events)):], ","))
}

// ServeHTTP answers a poll with the events after the number in its query. If there are none, it waits until an
// event is announced or the time in the query has passed.
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
