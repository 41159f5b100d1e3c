package main

import (
	"bytes"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

const (
	pauseTimeout      = 1500 * time.Millisecond // timeout of the requests
	pauseLength       = time.Second             // time for which the router is paused
	heavyClients      = 24                      // the router needs several turns of its loop to read all that they write
	pauseMaxCancelAge = 100 * time.Millisecond  // maximum time from a cancellation to the start of an attempt
)

// pausedClient sends requests on one connection while the router is paused.
type pausedClient struct {
	t           *testing.T
	conn        net.Conn
	lastID      uint64
	traceIDBase uint64               // added to the request id to get the trace id
	sent        map[uint64]time.Time // when the last byte of a request was written, by trace id
	canceled    map[uint64]time.Time // when the cancellation of a request was written, by trace id
	done        chan struct{}        // closed when all requests were written
}

func newPausedClient(t *testing.T, address string, traceIDBase uint64) *pausedClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &pausedClient{t: t, conn: conn, traceIDBase: traceIDBase, sent: map[uint64]time.Time{},
		canceled: map[uint64]time.Time{}, done: make(chan struct{})}
}

// send sends requests one after another, each followed by its cancellation if cancel is set. A write blocks while both
// the send buffer and the router's receive buffer are full.
func (c *pausedClient) send(requests, bodySize int, cancel bool) {
	defer close(c.done)
	for range requests {
		c.lastID++
		traceID := c.traceIDBase + c.lastID
		fields := testserver.RequestParams(traceID, objectName(int(c.lastID)), pauseTimeout)
		method := "page"
		if bodySize > 0 {
			method = "order"
		}
		_, _ = c.conn.Write(testserver.Request(c.lastID, method, fields, bytes.Repeat([]byte("x"), bodySize)))
		c.sent[traceID] = time.Now()
		if cancel {
			// the notification giveUp of MessagePack-RPC, for an id below 128
			_, _ = c.conn.Write([]byte{0x93, 2, 0xa6, 'g', 'i', 'v', 'e', 'U', 'p', 0x91, byte(c.lastID)})
			c.canceled[traceID] = time.Now()
		}
	}
}

// A router is paused while its clients write requests. Most clients write more than the receive buffer holds, and
// half of these also cancel each request; one client writes only a few small requests. The requests that were
// written before the router was resumed must age from when they were written: no deadline that is passed to a cache
// may be later than the client's, and no attempt may begin for a request that was canceled more than
// pauseMaxCancelAge ago.
func TestRequestsWrittenWhileTheRouterIsPaused(t *testing.T) {
	zone, err := testserver.NewZone(t.TempDir(), 2, 1, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	c := newCluster(t, zone, 1, "")
	c.operatorFile = "{}"
	c.start(0)
	c.request(0, 1)
	router := c.processes[0]
	small := newPausedClient(t, router.Address, 1000)
	clients := []*pausedClient{small}
	for i := range heavyClients {
		clients = append(clients, newPausedClient(t, router.Address, 2000+1000*uint64(i)))
	}
	c.request(0, 1) // after this request, the router has accepted the connections that were opened before
	pausedAt := pauseRouter(t, router)
	go small.send(5, 0, false)
	for i, heavy := range clients[1:] {
		go heavy.send(30, 46_000, i%2 == 1)
	}
	time.Sleep(time.Until(pausedAt.Add(pauseLength)))
	resumed := time.Now()
	if err := router.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for _, client := range clients {
		<-client.done
	}
	c.request(0, 1)
	time.Sleep(pauseTimeout) // until all requests have ended
	forwarded := 0
	for _, client := range clients {
		forwarded += client.check(zone, resumed)
	}
	if forwarded < 5 {
		t.Errorf("%d requests that were sent during the pause were forwarded, want at least 5\n%s", forwarded, c.log(0))
	}
}

// pauseRouter pauses a router's process, waits until it has stopped, and returns the time.
func pauseRouter(t *testing.T, router *testserver.Process) (at time.Time) {
	t.Helper()
	if err := router.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(router.Process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("the router has not stopped: status %v, %v", status, err)
	}
	return time.Now()
}

// check checks the attempts that the caches received for requests which the client wrote before the router was resumed:
// their deadlines, and the time since the requests' cancellations. It returns the number of these attempts.
func (c *pausedClient) check(zone *testserver.Zone, resumed time.Time) (forwarded int) {
	for _, cache := range zone.Caches {
		for _, g := range cache.Requests() {
			traceID, _ := strconv.ParseUint(g.ID, 16, 64)
			sent, ok := c.sent[traceID]
			if !ok || sent.After(resumed) || g.Fields["queue"] == "" {
				continue
			}
			forwarded++
			budget, _ := strconv.Atoi(g.Fields["budget"])
			if remaining := pauseTimeout - resumed.Sub(sent); time.Duration(budget)*time.Millisecond > remaining {
				c.t.Errorf("request %d: the cache got a budget of %d ms, but the client had only %s left",
					traceID, budget, remaining)
			}
			if at, canceled := c.canceled[traceID]; canceled && resumed.Sub(at) > pauseMaxCancelAge {
				c.t.Errorf("request %d: an attempt began over %s after the cancellation", traceID, resumed.Sub(at))
			}
		}
	}
	return forwarded
}
