package service

import (
	"strings"
	"testing"
	"time"

	"threadrun/internal/testserver"
)

// A router that shuts down must answer the requests that have arrived and those that still arrive, and only then
// end.
func TestShutdown(t *testing.T) {
	b := openTestbed(t, func(*testserver.Cache, *testserver.CacheRequest) *testserver.Reply {
		time.Sleep(300 * time.Millisecond)
		return &testserver.Reply{Status: "data", Body: []byte(strings.Repeat("x", 200000))}
	})
	defer b.close()
	chans := []<-chan *testserver.Answer{b.ask("page", object, 2*time.Second, nil)}
	done := make(chan struct{})
	go func() {
		b.server.Shutdown()
		close(done)
	}()
	b.until("leaving", func() bool {
		_, ch := b.client.Send("probe", nil, nil)
		return !b.wait(ch).Flag
	})
	lateClient := b.connectClient()
	defer lateClient.Close()
	_, ch := lateClient.Send("page", testserver.RequestParams(999, object, 2*time.Second), nil)
	for _, ch := range append(chans, ch) {
		if a := b.wait(ch); len(a.Body) != 200000 {
			t.Errorf("error %q, %d bytes", a.Error, len(a.Body))
		}
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the router did not end")
	}
}
