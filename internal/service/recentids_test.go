package service

import (
	"fmt"
	"testing"
	"time"

	"threadrun/internal/frontend"
	"threadrun/internal/testserver"
	"threadrun/routing"
)

// Guards against a request that runs twice because its id comes again after its client has left: a write is refused
// then, and a read is served.
func TestIDComesAgainAfterItsClientLeft(t *testing.T) {
	b, release := openHangingTestbed(t, testserver.Settings)
	defer b.close()
	const write, read = 4711, 4712
	leaving := b.connectClient()
	leaving.Send("order", testserver.RequestParams(write, hangingObject, 2*time.Second), []byte("one"))
	leaving.Send("page", testserver.RequestParams(read, hangingObject, 2*time.Second), nil)
	received := func(trace uint64) (n int) {
		for _, c := range b.caches {
			for _, g := range c.Requests() {
				if g.ID == fmt.Sprintf("%016x", trace) {
					n++
				}
			}
		}
		return n
	}
	b.until("both requests are at caches", func() bool { return received(write) == 1 && received(read) == 1 })
	leaving.Close()
	open := func() (open int) {
		b.server.engine.Do(func() { open = len(b.server.proxy.openTraceIDs) })
		return open
	}
	close(release)
	b.until("both requests have ended", func() bool { return open() == 0 })
	_, again := b.client.Send("order", testserver.RequestParams(write, hangingObject, 2*time.Second), []byte("one"))
	if a := b.wait(again); a.Error != "Fault" || received(write) != 1 {
		t.Errorf("the write that came again: error %q, and %d caches got it; want \"Fault\" and 1", a.Error, received(write))
	}
	_, again = b.client.Send("page", testserver.RequestParams(read, hangingObject, 2*time.Second), nil)
	if a := b.wait(again); a.Error != "" {
		t.Errorf("the read that came again: %s; want an answer", describe(a))
	}
}

// Ids must be remembered for their time, and the oldest forgotten first if there are too many.
func TestRecentIDs(t *testing.T) {
	var d recentIDs
	id := func(i int) (id frontend.HexID) {
		copy(id[:], fmt.Sprintf("%016x", i))
		return id
	}
	const lifetime = routing.Micros(recentIDLifetime / time.Microsecond)
	d.add(id(0), 0)
	if !d.contains(id(0), lifetime-1) || d.contains(id(0), lifetime) || d.contains(id(1), 0) {
		t.Error("an id is not remembered for exactly its time")
	}
	for i := range maxRecentIDs {
		d.add(id(i+1), 1)
	}
	if d.contains(id(0), 2) || !d.contains(id(1), 2) || len(d.until) != maxRecentIDs {
		t.Errorf("%d ids after %d were added, want the latest %d", len(d.until), maxRecentIDs+1, maxRecentIDs)
	}
	d.add(id(0), lifetime+1)
	if len(d.until) != 1 || len(d.oldest) != 1 {
		t.Errorf("%d ids are left after their time, want the one that was just added", len(d.until))
	}
}
