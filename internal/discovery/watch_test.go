package discovery

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"threadrun/internal/testserver"
	"threadrun/internal/transport"
)

// recorder is a Handler that records its calls. A purge is recorded as its object, whether it names a group, the group
// and the time of issue, all without separators: "true39" is a purge of group 3 that was issued at 9.
type recorder struct {
	events   []string
	caughtUp int // number of calls of CaughtUp
}

func (r *recorder) UpdateEndpoints(complete bool, list []Endpoint) {
	for _, e := range list {
		r.events = append(r.events, fmt.Sprint(complete, " ", e.Name, " ", e.State))
	}
}

func (r *recorder) CaughtUp() { r.caughtUp++ }

func (r *recorder) Purge(object string, byGroup bool, group int, issued int64) {
	r.events = append(r.events, fmt.Sprintf("%s%v%d%d", object, byGroup, group, issued))
}

func (r *recorder) WatchLost()     { r.events = append(r.events, "lost") }
func (r *recorder) WatchRestored() { r.events = append(r.events, "restored") }

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Events must be passed to the Handler exactly once and in order, although answers repeat, omit or corrupt events.
// Events that stay missing must be skipped after maxGapPolls polls, and invalid events and endpoints at once.
func TestApplyAnswer(t *testing.T) {
	purge := func(n int) string { return fmt.Sprintf(`{"no":%d,"recall":{"lot":%d,"issued":9}}`, n, n) }
	answer := func(newest int, events ...string) string {
		return fmt.Sprintf(`{"no":%d,"items":[%s]}`, newest, strings.Join(events, ","))
	}
	for _, test := range []struct {
		name     string
		answers  []string
		want     string
		failures int // number of answers that are invalid as a whole
	}{
		{"repeated events", []string{answer(2, purge(1), purge(2)), answer(3, purge(2), purge(3))},
			"true1 true2 true3", 0},
		{"a gap that is filled", []string{answer(1, purge(1)), answer(3, purge(3)), answer(3, purge(2), purge(3))},
			"true1 true2 true3", 0},
		{"a gap that is skipped", []string{answer(1, purge(1)), answer(3, purge(3)), answer(3, purge(3)), answer(3, purge(3)),
			answer(3, purge(3))}, "true1 true3", 0},
		{"numbers restart", []string{answer(2, purge(1), purge(2)), answer(1, purge(1))}, "true1 true2 true1", 0},
		{"invalid events", []string{answer(6, purge(1), `{"no":2}`, `{"no":3,"recall":{"lot":"x","issued":9}}`,
			`{"no":4,"recall":{"lot":1}}`, `{"no":5,"roster":{"targets":7}}`, purge(6))}, "true1 true6", 0},
		{"invalid answers", []string{`{}`, `[]`, `{"no":"1"}`, answer(1, purge(1))}, "true1", 3},
		{"invalid endpoints", []string{answer(1, `{"no":1,"roster":{"all":true,"targets":[
			{"uid":"a","endpoint":"1.2.3.4:5","state":"up"},
			{"uid":"b","endpoint":"b:5","state":"up"},{"uid":"c,src=x","endpoint":"1.2.3.4:5","state":"up"},
			{"uid":"d","endpoint":"1.2.3.4:5","state":"odd"},{"uid":"e","state":"removed"}]}}`)}, "true a 0 true e 2", 0},
	} {
		recorded, failures := &recorder{}, 0
		w := New(nil, quietLogger(), recorded, "", 0, 0)
		for _, a := range test.answers {
			if err := w.applyAnswer(fastjson.MustParse(a)); err != nil {
				failures++
			}
		}
		got := strings.ReplaceAll(strings.Join(recorded.events, " "), "9", "") // without the time of issue
		if got != test.want || failures != test.failures {
			t.Errorf("%s: events %q, want %q; %d errors, want %d", test.name, got, test.want, failures, test.failures)
		}
	}
}

// CaughtUp must not be called after an answer with missing events, which may be purges, nor after the answer at which
// the missing events are skipped.
func TestCaughtUp(t *testing.T) {
	const first = `{"no":1,"items":[{"no":1,"recall":{"lot":1,"issued":9}}]}`
	const gap = `{"no":3,"items":[{"no":3,"recall":{"lot":3,"issued":9}}]}`
	recorded := &recorder{}
	w := New(nil, quietLogger(), recorded, "", 0, 0)
	for i, step := range []struct {
		answer   string
		caughtUp int
	}{{first, 1}, {gap, 1}, {`{"no":3,"items":[]}`, 1}, {gap, 1}, {gap, 1}, {gap, 1}, {`{"no":3,"items":[]}`, 2}} {
		if err := w.applyAnswer(fastjson.MustParse(step.answer)); err != nil {
			t.Fatal(err)
		}
		if w.succeed(); recorded.caughtUp != step.caughtUp {
			t.Errorf("answer %d: CaughtUp was called %d times, want %d", i, recorded.caughtUp, step.caughtUp)
		}
	}
}

// A failed poll must be repeated, and no event may be lost: the first poll is never answered, the second gets an error
// status and the third truncated JSON. A chunked answer whose connection ends with it must succeed.
func TestPoll(t *testing.T) {
	server, err := testserver.StartDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Intercept = func(w http.ResponseWriter, r *http.Request, poll int) bool {
		switch poll {
		case 1: // never answered
			<-r.Context().Done()
		case 2:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case 3:
			_, _ = fmt.Fprint(w, `{"no":1,`)
		case 4: // chunked, and the connection ends with the answer
			w.Header().Set("Connection", "close")
			_, _ = fmt.Fprint(w, `{"no":0,`)
			w.(http.Flusher).Flush()
			_, _ = fmt.Fprint(w, `"items":[]}`)
		default:
			return false
		}
		return true
	}
	engine, err := transport.New(quietLogger(), 64)
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	recorded := &recorder{}
	watch := New(engine, quietLogger(), recorded, server.Address(), 100*time.Millisecond, 100*time.Millisecond)
	for ticks, announced := 0, 0; ; ticks++ {
		var got string
		engine.Do(func() {
			watch.Tick(time.Now())
			engine.Tick(time.Now())
			got = strings.Join(recorded.events, " ")
		})
		if server.PollCount() > 4 && announced < 3 {
			announced++
			server.Announce(fmt.Sprintf(`"recall":{"lot":%d,"issued":9}`, announced))
		}
		if got == "lost restored true19 true29 true39" {
			return
		}
		if ticks > 5000 {
			t.Fatalf("calls of the Handler after %d ticks: %q, want the loss and return of the watch and 3 purges", ticks, got)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
