package service

import (
	"strings"
	"testing"
)

// With the request log enabled, each step of a request must be logged with its id; otherwise nothing must be
// logged.
func TestRequestLog(t *testing.T) {
	for _, on := range []bool{true, false} {
		b := openTestbed(t, nil)
		if on {
			b.server.engine.Do(func() { b.server.proxy.requestLog = &requestLog{b.server.proxy.log, b.server.proxy.names} })
		}
		b.wait(b.ask("page", "00000000000000aa", testTimeout, nil))
		b.close()
		text := b.logText()
		var steps []string
		for _, line := range strings.Split(text, "\n") {
			if _, rest, ok := strings.Cut(line, `msg="request `); ok {
				step, _, _ := strings.Cut(rest, `"`)
				steps = append(steps, step)
				if !strings.Contains(line, "id=0000000000000001") {
					t.Errorf("line with another id: %s", line)
				}
			}
		}
		if got := strings.Join(steps, ", "); on && got != "arrived, forwarded, attempt ended, finished" || !on && got != "" {
			t.Errorf("request log %v: %q\n%s", on, got, text)
		}
	}
}
