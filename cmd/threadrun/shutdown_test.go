package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

const (
	// killAfter is the time from SIGTERM to SIGKILL: the longest timeout of a request, but at least 3 s, plus 0.7 s.
	killAfter = 3700 * time.Millisecond
	// A request that is sent less than crossingTime before the end of its connection may have crossed the router's close.
	// The client may send such a request again, so it does not count as lost.
	crossingTime  = 50 * time.Millisecond
	steadyTimeout = 2 * time.Second // timeout of the requests
)

// steadyClient sends a request at each interval on one connection, until the connection ends.
type steadyClient struct {
	client       *testserver.Client
	interval     time.Duration
	firstTraceID uint64
	requests     []steadyRequest
}

// steadyRequest is a request that a steadyClient has sent.
type steadyRequest struct {
	sent    time.Time
	answers <-chan *testserver.Answer
}

// run sends requests until the connection ends.
func (s *steadyClient) run() {
	for {
		select {
		case <-s.client.Closed():
			return
		case <-time.After(s.interval):
		}
		fields := testserver.RequestParams(s.firstTraceID+uint64(len(s.requests)), objectName(len(s.requests)%40),
			steadyTimeout)
		_, answers := s.client.Send("page", fields, nil)
		s.requests = append(s.requests, steadyRequest{time.Now(), answers})
	}
}

// lost returns the number of requests without an answer that were sent more than crossingTime before the connection
// ended.
func (s *steadyClient) lost() (lost int) {
	ended := s.client.EndedAt()
	for _, r := range s.requests {
		select {
		case a := <-r.answers:
			if a != nil {
				continue
			}
		default:
		}
		if ended.Sub(r.sent) > crossingTime {
			lost++
		}
	}
	return lost
}

// A router gets SIGTERM while its clients continue to send requests on their open connections, and caches are fast,
// slow, or slower than the timeout. It must answer every request and exit before it is killed.
func TestShutdownUnderSteadyLoad(t *testing.T) {
	for _, c := range []struct{ serviceTime, interval time.Duration }{
		{0, 15 * time.Millisecond},
		{60 * time.Millisecond, 15 * time.Millisecond},
		{300 * time.Millisecond, 30 * time.Millisecond},
		{5 * time.Second, 60 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.serviceTime), func(t *testing.T) { shutDownUnderLoad(t, c.serviceTime, c.interval) })
	}
}

// shutDownUnderLoad shuts down a router whose caches take serviceTime for an answer. interval is the time between two
// requests of each client.
func shutDownUnderLoad(t *testing.T, serviceTime, interval time.Duration) {
	zone, err := testserver.NewZone(t.TempDir(), 2, 1, 0, func(c *testserver.Cache) { c.ServiceTime = serviceTime })
	if err != nil {
		t.Fatal(err)
	}
	defer zone.Close()
	c := newCluster(t, zone, 1, "")
	c.operatorFile = "{}"
	c.start(0)
	router := c.processes[0]
	var clients []*steadyClient
	var done sync.WaitGroup
	for i := range 3 {
		client, err := router.Client(20 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		steady := &steadyClient{client: client, interval: interval, firstTraceID: uint64(i+1) << 20}
		clients = append(clients, steady)
		done.Go(steady.run)
	}
	time.Sleep(time.Second)
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(killAfter, func() { _ = router.Process.Kill() })
	done.Wait()
	err = router.Wait()
	if !kill.Stop() || err != nil {
		t.Errorf("the router did not exit by itself: %v\n%s", err, c.log(0))
	}
	for i, s := range clients {
		if lost := s.lost(); lost > 0 {
			t.Errorf("client %d: %d of %d requests are lost", i, lost, len(s.requests))
		}
	}
}
