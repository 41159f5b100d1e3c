package service

import (
	"net"
	"strings"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// A request is open when a shutdown begins, and another arrives soon after on a new connection. Both must be
// answered before the shutdown ends.
func TestShutdown(t *testing.T) {
	b := openTestbed(t, func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
		time.Sleep(300 * time.Millisecond)
		return &testserver.Reply{Status: "data", Body: []byte(strings.Repeat("x", 200000))}
	})
	defer b.close()
	chans := []<-chan *testserver.Answer{b.send("page", object, 2*time.Second, nil)}
	done := make(chan struct{})
	go func() {
		b.server.Shutdown()
		close(done)
	}()
	b.until("probes report that the router is not ready", func() bool {
		_, ch := b.client.Send("probe", nil, nil)
		return !b.wait(ch).Ready
	})
	lateClient := b.connectClient()
	defer lateClient.Close()
	_, ch := lateClient.Send("page", testserver.RequestParams(999, object, 2*time.Second), nil)
	for _, ch := range append(chans, ch) {
		if a := b.wait(ch); len(a.Body) != 200000 {
			t.Errorf("error %q and %d bytes, want 200000 bytes", a.Error, len(a.Body))
		}
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the shutdown did not end")
	}
}

const hangingObject = "00000000000000ff" // caches answer it only when the test ends

// openHangingTestbed opens a testbed whose caches answer requests for hangingObject only after release is closed.
// All answers are large.
func openHangingTestbed(t *testing.T, settings string) (b *testbed, release chan struct{}) {
	release = make(chan struct{})
	b = openTestbedWith(t, func(_ *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
		if g.Fields["path"] == hangingObject {
			<-release
		}
		return &testserver.Reply{Status: "data", Body: []byte(strings.Repeat("x", 200_000))}
	}, settings)
	return b, release
}

// A shutdown begins while attempts are in flight that caches never answer, requests are queued, half of a request
// was read, and a client does not read its answers. When the longest timeout is over, each open request must get
// its final answer, which may be a rejection only if the request has not run or may run again. The shutdown must
// end.
func TestShutdownGivesUpOpenRequests(t *testing.T) {
	// The classes' longest timeout is that of the requests, so that these are still open when the shutdown gives up.
	settings := strings.ReplaceAll(testserver.Settings, `"deadline":2000`, `"deadline":60000`)
	b, release := openHangingTestbed(t, settings)
	defer b.close()
	defer close(release)
	half, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = half.Close() }()
	request := testserver.Request(1, "page", testserver.RequestParams(9000, object, time.Minute), nil)
	_, _ = half.Write(request[:len(request)/2])
	slow, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	_ = slow.(*net.TCPConn).SetReadBuffer(4096)
	for id := uint64(1); id <= 30; id++ {
		_, _ = slow.Write(testserver.Request(id, "page", testserver.RequestParams(8000+id, object, time.Minute), nil))
	}
	order := b.send("order", hangingObject, time.Minute, []byte("one"))
	pages := make([]<-chan *testserver.Answer, 30)
	for i := range pages {
		pages[i] = b.send("page", hangingObject, time.Minute, nil)
	}
	b.until("the order is at a cache", func() bool {
		for _, c := range b.caches {
			for _, g := range c.Requests() {
				if len(g.Body) > 0 {
					return true
				}
			}
		}
		return false
	})
	done := b.startShutdown()
	if a := b.wait(order); a.Error != "Fault" {
		t.Errorf("the order, which may have run, was answered with error %q, want \"Fault\"", a.Error)
	}
	for i, ch := range pages {
		if a := b.wait(ch); a.Error != "Shed" {
			t.Errorf("page %d: error %q, want \"Shed\"", i, a.Error)
		}
	}
	b.awaitShutdown(done)
	if n := len(b.client.Unexpected); n > 0 {
		t.Errorf("%d requests were answered twice, want none", n)
	}
}

// A client continues to send requests on its connection during a shutdown. They must be rejected, and the
// connection must be closed after all answers. New connections must be refused.
func TestShutdownRejectsLateRequests(t *testing.T) {
	b, release := openHangingTestbed(t, testserver.Settings)
	defer b.close()
	defer close(release)
	open := b.send("page", hangingObject, 1500*time.Millisecond, nil)
	done := b.startShutdown()
	rejected := false
	b.until("requests are rejected", func() bool {
		rejected = rejected || b.wait(b.send("page", object, time.Second, nil)).Error == "Shed"
		return rejected
	})
	b.until("connections are refused", func() bool {
		c, err := net.Dial("tcp", b.address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if a := b.wait(open); a.Error == "" {
		t.Errorf("request that was never answered by a cache: %s; want an error", describe(a))
	}
	b.awaitShutdown(done)
	select {
	case <-b.client.Closed():
	case <-time.After(testTimeout):
		t.Error("the connection is still open")
	}
}
