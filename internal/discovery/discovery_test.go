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

// told notes what the bulletin tells.
type told struct{ lines []string }

func (r *told) UpdateEndpoints(whole bool, list []Endpoint) {
	for _, e := range list {
		r.lines = append(r.lines, fmt.Sprint(whole, " ", e.Name, " ", e.State))
	}
}
func (r *told) CaughtUp() {}

func (r *told) Purge(object string, whole bool, group int, issued int64) {
	r.lines = append(r.lines, fmt.Sprintf("%s%v%d%d", object, whole, group, issued))
}
func (r *told) WatchLost()     { r.lines = append(r.lines, "lost") }
func (r *told) WatchRestored() { r.lines = append(r.lines, "found") }

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Events come once each and in order, whatever the answers repeat, leave out or spoil.
func TestTake(t *testing.T) {
	item := func(n int) string { return fmt.Sprintf(`{"no":%d,"recall":{"lot":%d,"issued":9}}`, n, n) }
	all := func(no int, items ...string) string {
		return fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
	}
	for _, c := range []struct {
		name    string
		answers []string
		want    string
		faults  int
	}{
		{"repeats", []string{all(2, item(1), item(2)), all(3, item(2), item(3))}, "true1 true2 true3", 0},
		{"a gap that is filled", []string{all(1, item(1)), all(3, item(3)), all(3, item(2), item(3))}, "true1 true2 true3", 0},
		{"a gap that stays", []string{all(1, item(1)), all(3, item(3)), all(3, item(3)), all(3, item(3)), all(3, item(3))}, "true1 true3", 0},
		{"numbers anew", []string{all(2, item(1), item(2)), all(1, item(1))}, "true1 true2 true1", 0},
		{"bad items", []string{all(6, item(1), `{"no":2}`, `{"no":3,"recall":{"lot":"x","issued":9}}`,
			`{"no":4,"recall":{"lot":1}}`, `{"no":5,"roster":{"targets":7}}`, item(6))}, "true1 true6", 0},
		{"bad answers", []string{`{}`, `[]`, `{"no":"1"}`, all(1, item(1))}, "true1", 3},
		{"bad lines", []string{all(1, `{"no":1,"roster":{"all":true,"targets":[{"uid":"a","endpoint":"1.2.3.4:5","state":"up"},
			{"uid":"b","endpoint":"b:5","state":"up"},{"uid":"c,src=x","endpoint":"1.2.3.4:5","state":"up"},
			{"uid":"d","endpoint":"1.2.3.4:5","state":"odd"},{"uid":"e","state":"removed"}]}}`)}, "true a 0 true e 2", 0},
	} {
		r, faults := &told{}, 0
		p := New(nil, quiet(), r, "", 0, 0)
		for _, a := range c.answers {
			if err := p.take(fastjson.MustParse(a)); err != nil {
				faults++
			}
		}
		got := strings.ReplaceAll(strings.Join(r.lines, " "), "9", "")
		if got != c.want || faults != c.faults {
			t.Errorf("%s: %q, not %q; %d faults", c.name, got, c.want, faults)
		}
	}
}

// A poll that fails in any way is asked again, and no event is lost over it.
func TestPoll(t *testing.T) {
	board, err := testserver.Post("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	board.Spoil = func(w http.ResponseWriter, r *http.Request, poll int) bool {
		switch poll {
		case 1: // never answered
			<-r.Context().Done()
		case 2:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case 3:
			fmt.Fprint(w, `{"no":1,`)
		case 4: // in chunks, and the connection ends with it
			w.Header().Set("Connection", "close")
			fmt.Fprint(w, `{"no":0,`)
			w.(http.Flusher).Flush()
			fmt.Fprint(w, `"items":[]}`)
		default:
			return false
		}
		return true
	}
	engine, err := transport.New(quiet(), 64)
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	r := &told{}
	p := New(engine, quiet(), r, board.Address(), 100*time.Millisecond, 100*time.Millisecond)
	for i, events := 0, 0; ; i++ {
		var got string
		engine.Do(func() {
			p.Tick(time.Now())
			engine.Tick(time.Now())
			got = strings.Join(r.lines, " ")
		})
		if board.Polls() > 4 && events < 3 {
			events++
			board.Tell(fmt.Sprintf(`"recall":{"lot":%d,"issued":9}`, events))
		}
		if got == "lost found true19 true29 true39" {
			return
		}
		if i > 5000 {
			t.Fatalf("told: %q", got)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
