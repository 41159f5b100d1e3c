// Package benchwire speaks the simulator's wire: it decodes batches into calls of the decision
// module and encodes the results. The wire's names end here. It decides nothing.
package simadapter

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/valyala/fastjson"

	"threadrun/internal/hash"
	"threadrun/routing"
)

type entry struct {
	name string
	routing.Endpoint
	kind, zone string
}

// Adapter serves one process's share of instances.
type Adapter struct {
	in     *bufio.Reader
	out    *bufio.Writer
	parser fastjson.Parser
	pages  [16][]entry
	posts  map[int]*post
	buf    []byte
}

// New makes a link between two streams.
func New(in io.Reader, out io.Writer) *Adapter {
	return &Adapter{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20), posts: map[int]*post{}}
}

// Run answers batches until the input ends.
func (l *Adapter) Run() error {
	for {
		line, err := l.in.ReadBytes('\n')
		if len(line) > 1 {
			if err := l.batch(line); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (l *Adapter) batch(line []byte) error {
	v, err := l.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	now := micros(v.GetFloat64("ts"))
	l.buf = append(l.buf[:0], `{"groups":[`...)
	first := true
	for _, g := range v.GetArray("groups") {
		id := g.GetInt("router")
		start := len(l.buf)
		if !first {
			l.buf = append(l.buf, ',')
		}
		l.buf = append(l.buf, `{"router":`...)
		l.buf = strconv.AppendInt(l.buf, int64(id), 10)
		l.buf = append(l.buf, `,"actions":[`...)
		body := len(l.buf)
		for _, e := range g.GetArray("happened") {
			if err := l.event(id, now, e); err != nil {
				return err
			}
		}
		if len(l.buf) == body {
			l.buf = l.buf[:start]
			continue
		}
		l.buf[len(l.buf)-1] = ']' // over the last comma
		l.buf = append(l.buf, '}')
		first = false
	}
	l.buf = append(l.buf, "]}\n"...)
	if _, err := l.out.Write(l.buf); err != nil {
		return err
	}
	return l.out.Flush()
}

func (l *Adapter) event(id int, now routing.Micros, e *fastjson.Value) (err error) {
	op := str(e, "op")
	switch op {
	case "pool":
		l.page(e)
		return nil
	case "new_instance":
		l.posts[id], err = newPost(l, e)
		return err
	case "retire":
		delete(l.posts, id)
		return nil
	}
	p := l.posts[id]
	if p == nil {
		return nil
	}
	p.router.SetTime(now)
	switch op {
	case "directory_update":
		p.list(e)
	case "accept":
		p.accept(e)
	case "closed_attempt":
		if v, ok := p.visits[str(e, "txn")]; ok {
			p.router.AttemptEnded(v, routing.AttemptResult{
				Attempt: routing.AttemptNumber(e.GetInt("trial")), Outcome: endings[str(e, "reason")],
				CacheStatus: routing.CacheStatus(e.GetInt("info")), RequestDone: e.GetBool("done_flag"),
				Elapsed: micros(e.GetFloat64("elapsed")),
			})
		}
	case "ack_first":
		if v, ok := p.visits[str(e, "txn")]; ok {
			p.router.ResponseStarted(v, routing.AttemptNumber(e.GetInt("trial")))
		}
	case "expired":
		if v, ok := p.visits[str(e, "txn")]; ok {
			p.router.ClientLeft(v)
		}
	case "expired_now":
		var object routing.ObjectID
		whole := !e.Exists("item")
		if !whole {
			object = routing.ObjectID(hash.String(str(e, "item")))
		}
		p.router.Purged(object, routing.GroupID(e.GetInt("batch_id")), whole, micros(e.GetFloat64("age_span")))
	case "timer":
		p.router.TimerFired()
	}
	return nil
}

var endings = map[string]routing.Outcome{
	"pass": routing.Succeeded, "fault": routing.Failed, "no_room": routing.Rejected, "too_slow": routing.TimedOut,
	"no_route": routing.ConnectFailed, "cut": routing.ConnectionLost, "undone": routing.Canceled,
	"stale_send": routing.NotSent, "none_here": routing.CacheMiss,
}

func (l *Adapter) page(e *fastjson.Value) {
	n := e.GetInt("page")
	if n < 0 || n >= len(l.pages) {
		return
	}
	lines := e.GetArray("lines")
	list := make([]entry, 0, len(lines))
	for _, w := range lines {
		x := entry{name: str(w, "server"), kind: str(w, "type"), zone: str(w, "zone")}
		x.NameHash = hash.String(x.name)
		x.Cell = routing.CellID(w.GetInt("group"))
		x.Weight = w.GetFloat64("scale")
		x.Started = micros(w.GetFloat64("last_start"))
		switch str(w, "phase") {
		case "fading":
			x.State = routing.Draining
		case "off":
			x.State = routing.Removed
		}
		list = append(list, x)
	}
	l.pages[n] = list
}

func str(v *fastjson.Value, key string) string { return string(v.GetStringBytes(key)) }

func micros(ms float64) routing.Micros { return routing.Micros(math.Round(ms * 1000)) }

func appendMillis(b []byte, t routing.Micros) []byte {
	return strconv.AppendFloat(b, float64(t)/1000, 'f', -1, 64)
}
