// Package discovery follows the numbered events of the bulletin by a long poll. It hands them on in order, each
// once, and decides nothing.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"threadrun/internal/http1"
	"threadrun/internal/transport"
)

// Endpoint is one line of the list of caches, in the bulletin's own names.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Cell                      int
	State                     State
	Weight                    float64
	StartedUnixMillis         int64 // Unix ms; 0: long ago
}

// State is what the list says of a cache.
type State uint8

const (
	Up State = iota
	Draining
	Removed
)

// Handler takes what the bulletin tells.
type Handler interface {
	UpdateEndpoints(whole bool, list []Endpoint)
	Purge(object string, whole bool, group int, issued int64) // issued: Unix ms
	WatchLost()                                               // no word for now; the list in hand stays
	WatchRestored()
	CaughtUp() // a poll was answered: what there is up to now has been told
}

const (
	bodyMost   = 4 << 20
	pauseFirst = 100 * time.Millisecond
	pauseMost  = time.Second
)

var (
	errDead  = errors.New("no answer in time")
	errEnded = errors.New("connection ended by the bulletin")
)

// Watch keeps one request out at a time.
type Watch struct {
	engine  *transport.Engine
	log     *logrus.Logger
	reader  Handler
	address string
	wait    time.Duration // that the bulletin may hold a request
	slack   time.Duration // beyond it, until a poll is taken for dead; also for the connect
	last    int64
	conn    *transport.Conn
	asked   bool
	limit   time.Time // of the request that is out
	again   time.Time // not before
	pause   time.Duration
	lost    bool
	in      []byte
	parser  fastjson.Parser
	gaps    int
}

// New makes a poll that has seen nothing yet.
func New(e *transport.Engine, log *logrus.Logger, r Handler, address string, wait, slack time.Duration) *Watch {
	return &Watch{engine: e, log: log, reader: r, address: address, wait: wait, slack: slack, pause: pauseFirst}
}

// ApplyInitial takes the events of the start.
func (p *Watch) ApplyInitial(v *fastjson.Value) error { return p.take(v) }

// Reconfigure has the poll go on elsewhere, or in another way, with the number it has. What is out is given up: the place it
// went to may tell nothing more.
func (p *Watch) Reconfigure(address string, wait, slack time.Duration) {
	if p.address == address && p.wait == wait && p.slack == slack {
		return
	}
	p.address, p.wait, p.slack = address, wait, slack
	if p.conn != nil {
		p.conn.Close()
	}
	p.conn, p.asked, p.again, p.pause = nil, false, time.Time{}, pauseFirst
}

// Tick keeps the poll going. It is called under the lock, some tens of times a second.
func (p *Watch) Tick(now time.Time) {
	switch {
	case p.conn == nil:
		if !now.Before(p.again) {
			p.in = p.in[:0]
			p.conn = p.engine.Dial(p.address, p.slack, p)
			p.ask()
		}
	case now.After(p.limit): // wards off a poll that no answer will ever come to
		p.fail(errDead)
	}
}

func (p *Watch) ask() {
	p.asked, p.limit = true, p.engine.Now().Add(p.wait+p.slack)
	path := "/bulletins?after=" + strconv.FormatInt(p.last, 10) + "&patience=" +
		strconv.FormatInt(p.wait.Milliseconds(), 10)
	p.conn.Send(http1.AppendGet(nil, p.address, path))
}

// Data takes bytes of an answer.
func (p *Watch) Data(b []byte) error {
	p.in = append(p.in, b...)
	return p.answer(false)
}

func (p *Watch) answer(ended bool) error {
	a, err := http1.Parse(p.in, bodyMost, ended)
	if errors.Is(err, http1.ErrShort) {
		return nil
	}
	if err == nil && a.Code >= 100 && a.Code < 200 {
		p.in = append(p.in[:0], p.in[a.Size:]...)
		return p.answer(ended)
	}
	if err == nil && (a.Code != 200 || !p.asked) {
		err = fmt.Errorf("status %d", a.Code)
	}
	if err == nil {
		var v *fastjson.Value
		if v, err = p.parser.ParseBytes(a.Body); err == nil {
			err = p.take(v)
		}
	}
	if err != nil {
		p.fail(err)
		return nil
	}
	p.pause, p.asked = pauseFirst, false
	if p.lost {
		p.lost = false
		p.log.WithField("no", p.last).Info("discovery: found again")
		p.reader.WatchRestored()
	}
	p.reader.CaughtUp()
	p.in = append(p.in[:0], p.in[a.Size:]...)
	if a.Close || ended {
		p.conn.Close()
		p.conn = nil
		return nil
	}
	if len(p.in) > 0 {
		p.fail(errors.New("bytes beyond the answer"))
		return nil
	}
	p.ask()
	return nil
}

// Closed hears that the connection has ended.
func (p *Watch) Closed(err error) {
	if p.asked && len(p.in) > 0 {
		if _ = p.answer(true); !p.asked {
			return
		}
	}
	if p.conn != nil {
		p.fail(fmt.Errorf("%w: %w", errEnded, err))
	}
}

// fail gives up the request that is out; the next follows after a pause that grows, so that no loop runs hot.
func (p *Watch) fail(err error) {
	p.conn.Close()
	p.conn, p.asked = nil, false
	p.again = p.engine.Now().Add(p.pause)
	p.pause = min(2*p.pause, pauseMost)
	if !p.lost {
		p.lost = true
		p.log.WithError(err).WithField("no", p.last).Warn("discovery: lost")
		p.reader.WatchLost()
	}
}

// take applies an answer's events that are next. One that repeats is passed over; one with a gap before it waits
// for the missing one, asked for again, a few times.
func (p *Watch) take(v *fastjson.Value) error {
	no, ok := whole(v, "no")
	if !ok {
		return errors.New("no number in 'no'")
	}
	if no < p.last { // numbered anew: all of it is news
		p.log.WithFields(logrus.Fields{"had": p.last, "no": no}).Warn("discovery: numbers start anew")
		p.last = 0
		if len(v.GetArray("items")) == 0 {
			return nil
		}
	}
	for _, item := range v.GetArray("items") {
		n := item.GetInt64("no")
		if n <= p.last {
			continue
		}
		if p.last > 0 && n > p.last+1 && p.gaps < 3 {
			p.gaps++
			p.log.WithFields(logrus.Fields{"had": p.last, "no": n}).Warn("discovery: events missing, asked again")
			return nil
		}
		p.gaps = 0
		if err := p.apply(item); err != nil {
			p.log.WithError(err).WithField("no", n).Warn("discovery: item skipped")
		}
		p.last = n
	}
	return nil
}

func (p *Watch) apply(item *fastjson.Value) error {
	if r := item.Get("roster"); r != nil {
		list, err := roster(r, p.log)
		if err == nil {
			p.reader.UpdateEndpoints(r.GetBool("all"), list)
		}
		return err
	}
	r := item.Get("recall")
	if r == nil {
		return errors.New("neither roster nor recall")
	}
	issued, ok := whole(r, "issued")
	if !ok || issued <= 0 {
		return errors.New("recall without 'issued'")
	}
	if name := r.GetStringBytes("item"); len(name) > 0 {
		p.reader.Purge(string(name), false, 0, issued)
		return nil
	}
	group, ok := whole(r, "lot")
	if !ok {
		return errors.New("recall of neither 'item' nor 'lot'")
	}
	p.reader.Purge("", true, int(group), issued)
	return nil
}

// whole reads a member that is a whole number.
func whole(v *fastjson.Value, key string) (int64, bool) {
	if v = v.Get(key); v == nil {
		return 0, false
	}
	n, err := v.Int64()
	return n, err == nil
}

// roster reads a list of caches. One unusable line does not cost the others.
func roster(r *fastjson.Value, log *logrus.Logger) ([]Endpoint, error) {
	if t := r.Get("targets"); t == nil || t.Type() != fastjson.TypeArray {
		return nil, errors.New("roster without 'targets'")
	}
	var list []Endpoint
	for _, t := range r.GetArray("targets") {
		e := Endpoint{Name: string(t.GetStringBytes("uid")), Address: string(t.GetStringBytes("endpoint")),
			Zone: string(t.GetStringBytes("az")), Kind: string(t.GetStringBytes("model")),
			Cell: t.GetInt("pod_group"), Weight: t.GetFloat64("capacity_hint"), StartedUnixMillis: int64(t.GetFloat64("boot_ms"))}
		_, err := netip.ParseAddrPort(e.Address)
		state := string(t.GetStringBytes("state"))
		switch good := err == nil && plain(e.Name); {
		case state == "up" && good:
		case state == "draining" && good:
			e.State = Draining
		case state == "removed" && e.Name != "":
			e.State = Removed
		default:
			log.WithFields(logrus.Fields{"uid": e.Name, "state": state, "endpoint": e.Address}).
				Warn("discovery: line of the list skipped")
			continue
		}
		list = append(list, e)
	}
	return list, nil
}

// plain tells whether a name can stand in a list of fields.
func plain(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == ',' || c == '=' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}
