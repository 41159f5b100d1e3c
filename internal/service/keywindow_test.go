package service

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// listenWithoutAccepting returns the address of a listener to which connects stay without an answer: its queue is full
// of connections that nobody accepts.
func listenWithoutAccepting(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	const attempt = 100 * time.Millisecond // a connect that takes longer found the queue full
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, attempt)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener does not fill up")
	return ""
}

// Guards against a second effect, and against a late answer: the retry of a keyed request that may have run waits for
// a connection beyond the key window. It must be withdrawn, and the request must fail when the window ends, long before
// the connect or the request times out.
func TestRepeatIsWithdrawnAtTheEndOfItsKeyWindow(t *testing.T) {
	settings := strings.NewReplacer(
		`"effect":"non_idempotent","group":"all","value":3,"window":5000`,
		`"effect":"idempotency_key","group":"all","value":3,"window":600`,
		`"connect_timeout":300`, `"connect_timeout":60000`,
	).Replace(testserver.Settings)
	blocked := listenWithoutAccepting(t)
	var b *testbed
	b = openTestbedWith(t, func(c *testserver.Cache, _ *testserver.CacheRequest) *testserver.Reply {
		b.discovery.AnnounceEndpoints(false, testserver.EndpointJSON("edge-3", blocked, "branch", "cache", "up", 0))
		b.until("the router knows the second cache", func() bool { return strings.Contains(b.logText(), "edge-3") })
		c.CloseConnections(true)
		return nil
	}, settings)
	defer b.close()
	b.discovery.AnnounceEndpoints(false, b.listLine("edge-2", "removed"))
	b.until("only one cache is listed", func() bool { return strings.Contains(b.logText(), "full=false") })
	answer := b.send("order", object, time.Minute, []byte("slot"))
	b.until("the retry waits for its connection", func() bool {
		queued := 0
		b.server.engine.Do(func() { queued = b.server.proxy.pool.QueuedCount() })
		return queued == 1
	})
	if a := b.wait(answer); a.Error != "Fault" {
		t.Errorf("%s; want error \"Fault\"", describe(a))
	}
	b.server.engine.Do(func() {
		if queued := b.server.proxy.pool.QueuedCount(); queued != 0 {
			t.Errorf("%d requests wait for a connection after the answer, want 0", queued)
		}
	})
}
