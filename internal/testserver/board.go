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

// Board is a toy bulletin.
type Board struct {
	mu    sync.Mutex
	door  net.Listener
	items []string
	news  chan struct{}
	polls int
	Spoil func(w http.ResponseWriter, r *http.Request, poll int) bool // takes a poll over; true: done with it
}

// Post starts a bulletin at an address; port 0 takes any.
func Post(address string) (*Board, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Board{door: l, news: make(chan struct{})}
	go func() { _ = http.Serve(l, b) }()
	return b, nil
}

// Address is where the bulletin listens.
func (b *Board) Address() string { return b.door.Addr().String() }

// Tell adds an event: the JSON of its members after the number.
func (b *Board) Tell(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, fmt.Sprintf(`{"no":%d,%s}`, len(b.items)+1, event))
	close(b.news)
	b.news = make(chan struct{})
}

// Line is one line of the list of caches.
func Line(name, address, zone, kind, state string, boot int64) string {
	b, _ := json.Marshal(map[string]any{"uid": name, "endpoint": address, "az": zone, "model": kind, "pod_group": 0,
		"state": state, "capacity_hint": 1, "boot_ms": boot})
	return string(b)
}

// Roster tells of caches, all or what has changed.
func (b *Board) Roster(all bool, lines ...string) {
	b.Tell(fmt.Sprintf(`"roster":{"rev":1,"all":%v,"targets":[%s]}`, all, strings.Join(lines, ",")))
}

// Recall tells of a purge of an object.
func (b *Board) Recall(object string, at time.Time) {
	b.Tell(fmt.Sprintf(`"recall":{"item":%q,"issued":%d}`, object, at.UnixMilli()))
}

// Known gives the events up to now, as a router's configuration holds them.
func (b *Board) Known() string { return b.after(0) }

// Polls counts the requests so far.
func (b *Board) Polls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.polls
}

func (b *Board) after(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf(`{"no":%d,"items":[%s]}`, len(b.items), strings.Join(b.items[min(n, len(b.items)):], ","))
}

func (b *Board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.polls++
	poll, news, have := b.polls, b.news, len(b.items)
	b.mu.Unlock()
	if b.Spoil != nil && b.Spoil(w, r, poll) {
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
	fmt.Fprint(w, b.after(n))
}
