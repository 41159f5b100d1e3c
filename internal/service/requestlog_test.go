package service

import (
	"strings"
	"testing"

	"threadrun/internal/testserver"
)

// With the request log enabled, each step of a request must be logged with its trace id. With it disabled,
// nothing about requests must be logged.
func TestRequestLog(t *testing.T) {
	for _, on := range []bool{true, false} {
		b := openTestbed(t, nil)
		if on {
			b.server.engine.Do(func() { b.server.proxy.requestLog = &requestLog{b.server.proxy.log, b.server.proxy.names} })
		}
		b.wait(b.send("page", "00000000000000aa", testTimeout, nil))
		b.close()
		text := b.logText()
		var steps []string
		for _, line := range strings.Split(text, "\n") {
			if _, rest, ok := strings.Cut(line, `msg="request `); ok {
				step, _, _ := strings.Cut(rest, `"`)
				steps = append(steps, step)
				if !strings.Contains(line, "id=0000000000000001") {
					t.Errorf("line without the request's id 0000000000000001: %s", line)
				}
			}
		}
		if got := strings.Join(steps, ", "); on && got != "arrived, forwarded, attempt ended, finished" || !on && got != "" {
			t.Errorf("request log enabled %v: steps %q, want all four if enabled, or else none; log:\n%s", on, got, text)
		}
	}
}

// A client leaves while its attempt is in flight, and the attempt is answered later. The request must be logged as
// finished only once.
func TestRequestFinishesOnce(t *testing.T) {
	b, received, release := openHoldingTestbed(t)
	defer b.close()
	b.server.engine.Do(func() { b.server.proxy.requestLog = &requestLog{b.server.proxy.log, b.server.proxy.names} })
	id, _ := b.client.Send("page", testserver.RequestParams(1, object, testTimeout), nil)
	<-received
	b.client.Cancel(id)
	b.until("the client has left", func() bool { return strings.Contains(b.logText(), "client left") })
	close(release)
	b.until("the attempt has ended", func() bool { return strings.Contains(b.logText(), "request attempt ended") })
	b.server.engine.Do(func() {})
	if n := strings.Count(b.logText(), "request finished"); n != 1 {
		t.Errorf("the request was logged as finished %d times, want once; log:\n%s", n, b.logText())
	}
}
