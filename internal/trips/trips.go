// Package trips holds the connections to caches, parents and the origin. It carries requests out and answers
// back, and tells of each trip how far it had come when it ended. It never tries again and never picks a cache.
package trips

import (
	"bytes"
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/decide"
	"threadrun/internal/resp"
	"threadrun/internal/sockets"
)

// Ticket names one trip of one visit.
type Ticket struct {
	Visit decide.VisitID
	Trip  decide.TripNo
}

// Reach is how far an attempt had come when it ended: what can have arrived at the other side.
type Reach uint8

const (
	Unconnected Reach = iota // no connection ever stood for it
	Unsent                   // the kernel took none of its bytes
	PartSent                 // not all of them: no whole request can have arrived
	Sent                     // all of them, and nothing has come back
	Answering                // an answer to it, or to another on its connection, had begun
)

// Fault is the error of an attempt that got no answer.
type Fault struct {
	Reach Reach
	Err   error
}

func (f *Fault) Error() string { return reaches[f.Reach] + ": " + f.Err.Error() }

// Unwrap gives what ended the connection.
func (f *Fault) Unwrap() error { return f.Err }

var reaches = [...]string{"unconnected", "unsent", "part sent", "sent", "answering"}

// Word is what an answer says.
type Word uint8

const (
	Silent Word = iota // no answer: see the Fault
	Data
	Unchanged
	Absent
	Full
	Failed
	Moot
	Unknown // a word that is not in the protocol
)

var words = map[string]Word{"data": Data, "unchanged": Unchanged, "absent": Absent, "full": Full,
	"failed": Failed, "moot": Moot}

// End is the end of one trip. Fields and Body are good within the call only.
type End struct {
	Word   Word
	Fields []byte
	Body   []byte
	Fault  *Fault
}

// Field finds a value in a list of fields.
func (e *End) Field(name string) []byte {
	rest := e.Fields
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		if key, value, ok := bytes.Cut(pair, []byte("=")); ok && string(key) == name {
			return value
		}
	}
	return nil
}

// Host hears how trips end, and what probes showed. It is called in the midst of things, and must not call back into the
// yard.
type Host interface {
	Ended(t Ticket, e *End)
	Probed(no uint64, what Sight, took time.Duration)
}

// Sight is what a probe showed.
type Sight uint8

const (
	Unclear Sight = iota // the connection ended for another reason
	There
	NotThere // no connection, or no answer in time
)

// ID is a request's id on its connection: the client's own mark of the visit.
type ID = [16]byte

// Yard holds all connections.
type Yard struct {
	engine  *sockets.Engine
	log     *logrus.Logger
	host    Host
	pools   []*pool
	most    int // connections in all
	each    int // to one cache
	streams int // trips on one connection, where there can be no more connections
	open    int
	connect time.Duration
	idle    time.Duration
	ask     time.Duration // a cache that has said nothing for so long is asked whether it is there
	words   [4][]byte
	head    []byte // scratch for a request
	fields  []byte
	held    int // requests that are held back
	end     End
	probes  []probe
	probed  uint64
}

// probe is a PING that is out on behalf of the host.
type probe struct {
	no   uint64
	tag  string
	link *link
	sent time.Time
	ends time.Time
}

// New makes an empty yard.
func New(e *sockets.Engine, log *logrus.Logger, h Host, most, each, streams int,
	connect, idle, ask time.Duration) *Yard {
	return &Yard{engine: e, log: log, host: h, most: most, each: each, streams: streams, connect: connect,
		idle: idle, ask: ask}
}

// pool is the connections to one cache.
type pool struct {
	address string
	links   []*link
	heard   time.Time // last byte on any of them
	asked   time.Time // a PING is out since
}

// trip is one attempt on a connection. Its request is held back until the connection can take it at once: until then the attempt can
// be recalled, and nothing of it ever goes out.
type trip struct {
	ticket     Ticket
	get        Get
	body       []byte
	begun      bool
	begin, end int64 // where its bytes lie in what the connection was given
	set        time.Time
}

// link is one connection.
type link struct {
	yard   *Yard
	pool   *pool
	conn   *sockets.Conn
	closed bool // no new trips
	open   []trip
	given  []ID // that were dropped on it: an answer that comes for one is nobody's
	in     sockets.Inbox
	used   time.Time // last byte that came, or last trip set out
	heard  time.Time // last byte that came
}

var (
	errStuck   = errors.New("an answer that stopped midway")
	errRetired = errors.New("the connection takes no more requests")
)

var lineEnd = []byte("\r\n")

const (
	wordMost  = 260_000
	givenMost = 64
)

// Place says where a cache is reached. A cache that moved or started anew gets new connections: the old ones may
// lead to what was there before.
func (y *Yard) Place(c decide.CacheID, address string, anew bool) {
	for len(y.pools) <= int(c) {
		y.pools = append(y.pools, nil)
	}
	p := y.pools[c]
	if p == nil {
		y.pools[c] = &pool{address: address}
		return
	}
	if p.address != address || anew {
		p.address = address
		y.retire(p)
	}
}

// Remove lets a cache's connections go as their trips end.
func (y *Yard) Remove(c decide.CacheID) {
	if int(c) < len(y.pools) && y.pools[c] != nil {
		y.retire(y.pools[c])
	}
}

func (y *Yard) retire(p *pool) {
	for i := len(p.links) - 1; i >= 0; i-- {
		l := p.links[i]
		l.closed = true
		l.sendBack()
		l.rest()
	}
}

// Bound changes how many connections there may be, in all and to one cache.
func (y *Yard) Bound(most, each int) { y.most, y.each = most, each }

// Pools counts the caches that have, or had, connections.
func (y *Yard) Pools() int { return len(y.pools) }

// Open counts the connections.
func (y *Yard) Open() int { return y.open }

// Held counts the requests that are held back.
func (y *Yard) Held() int { return y.held }

// Send sets a request out, at once or as soon as its connection takes it. What get and body point to must stay as it is until the
// attempt has ended. Where there is no way out at all, its end is told within the call.
func (y *Yard) Send(t Ticket, c decide.CacheID, get *Get, body []byte) {
	if int(c) >= len(y.pools) || y.pools[c] == nil {
		y.host.Ended(t, &End{Fault: &Fault{Unconnected, errors.New("no address")}})
		return
	}
	l := y.pools[c].pick(y, get.ID)
	if l == nil {
		y.host.Ended(t, &End{Fault: &Fault{Unconnected, errors.New("no connection to be had")}})
		return
	}
	l.used = y.engine.Now()
	l.open = append(l.open, trip{ticket: t, get: *get, body: body, set: l.used})
	y.held++
	l.flush()
}

// Connected sends what waited for the connection.
func (l *link) Connected() { l.flush() }

// flush sends what is held back, in order, as far as the connection takes it at once.
func (l *link) flush() {
	for i := range l.open {
		if !l.open[i].begun && l.conn.Drained() {
			l.begin(&l.open[i])
		}
	}
}

// begin sends a request with what is left of its budget. One whose time is up stays back: its end is about to be told.
func (l *link) begin(t *trip) {
	y := l.yard
	get := t.get
	if get.Budget -= decide.Micros(y.engine.Now().Sub(t.set).Microseconds()); get.Budget <= 0 {
		return
	}
	y.head, y.fields = AppendGet(y.head[:0], &get, len(t.body), y.fields)
	t.begin = l.conn.Queued()
	l.conn.Send(y.head, t.body, lineEnd)
	// Without its line's end a request is not whole, but a cache that goes by lengths might take it for that.
	t.end = l.conn.Queued() - int64(len(lineEnd))
	t.begun = true
	y.held--
}

// Recall takes an attempt back if nothing of its request has gone out; nothing more is heard of it then.
func (y *Yard) Recall(t Ticket, c decide.CacheID) bool {
	l, i := y.find(t, c)
	if l == nil || l.open[i].begun {
		return false
	}
	l.giveBack(i)
	return true
}

// giveBack drops a request that was held back. A connection that does not stand yet and that nobody waits for is given up.
func (l *link) giveBack(i int) {
	l.remove(i)
	if l.rest(); len(l.open) == 0 && !l.conn.Up() && !l.closed {
		l.shut()
	}
}

// find finds an attempt that is open; nil: there is none.
func (y *Yard) find(t Ticket, c decide.CacheID) (*link, int) {
	if int(c) >= len(y.pools) || y.pools[c] == nil {
		return nil, 0
	}
	for _, l := range y.pools[c].links {
		for i := range l.open {
			if l.open[i].ticket == t {
				return l, i
			}
		}
	}
	return nil, 0
}

// Probe asks a cache whether it is there. The answer, or that none came in time, is told under the number given back; 0:
// there is no way to ask.
func (y *Yard) Probe(c decide.CacheID, limit time.Duration) uint64 {
	if int(c) >= len(y.pools) || y.pools[c] == nil {
		return 0
	}
	l := y.pools[c].pick(y, ID{})
	if l == nil {
		return 0
	}
	y.probed++
	now := y.engine.Now()
	p := probe{no: y.probed, tag: "probe" + strconv.FormatUint(y.probed, 10), link: l, sent: now, ends: now.Add(limit)}
	y.probes = append(y.probes, p)
	l.conn.Send(resp.AppendWord(resp.AppendWord(resp.AppendArray(nil, 2), "PING"), p.tag))
	l.used = now
	return p.no
}

// shown ends the probes that a test names.
func (y *Yard) shown(what Sight, now time.Time, test func(*probe) bool) {
	for i := 0; i < len(y.probes); {
		p := y.probes[i]
		if !test(&p) {
			i++
			continue
		}
		y.probes = append(y.probes[:i], y.probes[i+1:]...)
		y.host.Probed(p.no, what, now.Sub(p.sent))
	}
}

// pick takes an idle connection, else a new one, else the one with the fewest trips.
func (p *pool) pick(y *Yard, id ID) *link {
	var best *link
	for _, l := range p.links {
		if l.closed || len(l.open) >= y.streams || l.knows(id) {
			continue
		}
		if best == nil || l.rank() < best.rank() {
			best = l
		}
	}
	if best != nil && best.conn.Up() && len(best.open) == 0 {
		return best
	}
	if len(p.links) < y.each && y.open >= y.most {
		y.evict()
	}
	if len(p.links) < y.each && y.open < y.most {
		if len(p.links) == 0 {
			p.heard, p.asked = y.engine.Now(), time.Time{}
		}
		l := &link{yard: y, pool: p}
		l.conn = y.engine.Dial(p.address, y.connect, l)
		p.links = append(p.links, l)
		y.open++
		return l
	}
	return best
}

// evict lets the connection go that has been idle longest: wards off a cache out of reach because others hold all
// descriptors.
func (y *Yard) evict() {
	var oldest *link
	for _, p := range y.pools {
		if p == nil {
			continue
		}
		for _, l := range p.links {
			if len(l.open) == 0 && (oldest == nil || l.used.Before(oldest.used)) {
				oldest = l
			}
		}
	}
	if oldest != nil {
		oldest.shut()
	}
}

func (l *link) rank() int {
	if l.conn.Up() {
		return len(l.open)
	}
	return len(l.open) + 1
}

// knows tells whether an id has been on this connection and may yet be answered: a second trip of a visit must
// not be taken for its first.
func (l *link) knows(id ID) bool {
	for i := range l.open {
		if l.open[i].get.ID == id {
			return true
		}
	}
	for _, g := range l.given {
		if g == id {
			return true
		}
	}
	return false
}

// Drop gives a trip up and tells how far it has come, for good; nothing more is heard of it.
func (y *Yard) Drop(t Ticket, c decide.CacheID) Reach {
	l, i := y.find(t, c)
	if l == nil {
		return Unconnected
	}
	o := l.open[i]
	if !o.begun {
		reach := l.reach(&o)
		l.giveBack(i)
		return reach
	}
	l.remove(i)
	if len(l.open) == 0 && l.conn.Sent() < o.end {
		// Closed first, measured then: what waits here must neither follow later nor slip out meanwhile.
		l.shut()
		return l.reach(&o)
	}
	reach := max(l.reach(&o), Sent) // on a connection that lives on, its bytes still go out
	l.given = append(l.given, o.get.ID)
	// A connection that has said nothing all the while may be dead, and behind a part of an answer all others
	// wait: it gets no more trips.
	l.closed = l.closed || len(l.given) >= givenMost || l.heard.Before(o.set) || l.in.Len() > 0
	l.conn.Send(resp.AppendWord(resp.AppendWord(resp.AppendArray(nil, 2), "DROP"), o.get.ID[:]))
	l.sendBack()
	l.rest()
	return reach
}

// sendBack ends what a connection holds back that takes nothing more: none of it ever ran.
func (l *link) sendBack() {
	for i := 0; l.closed && i < len(l.open); {
		if l.open[i].begun {
			i++
			continue
		}
		t := l.open[i].ticket
		l.remove(i)
		l.yard.host.Ended(t, &End{Fault: &Fault{Unsent, errRetired}})
	}
}

func (l *link) reach(t *trip) Reach {
	switch sent := l.conn.Sent(); {
	case !l.conn.Up():
		return Unconnected
	case !t.begun || sent <= t.begin:
		return Unsent
	case sent < t.end:
		return PartSent
	case l.in.Len() > 0:
		return Answering
	}
	return Sent
}

func (l *link) remove(i int) {
	if !l.open[i].begun {
		l.yard.held--
	}
	l.open = append(l.open[:i], l.open[i+1:]...)
}

// rest closes a connection that is to take no more trips, once it has none.
func (l *link) rest() {
	if l.closed && len(l.open) == 0 {
		l.shut()
	}
}

// shut closes a connection without trips.
func (l *link) shut() {
	l.conn.Close()
	l.leave()
}

func (l *link) leave() {
	l.closed = true
	for i, o := range l.pool.links {
		if o == l {
			l.pool.links = append(l.pool.links[:i], l.pool.links[i+1:]...)
			l.yard.open--
			break
		}
	}
	l.in.Drop(l.yard.engine)
	if len(l.yard.probes) > 0 {
		l.yard.shown(Unclear, l.yard.engine.Now(), func(p *probe) bool { return p.link == l })
	}
}

// Closed ends all trips of a connection as what they provably are.
func (l *link) Closed(err error) {
	ends := make([]*Fault, len(l.open))
	for i := range l.open {
		ends[i] = &Fault{l.reach(&l.open[i]), err}
		if ends[i].Reach == Unconnected && errors.Is(err, syscall.ECONNRESET) {
			ends[i].Reach = Unsent // somebody took the connection and ended it: the cache is there
		}
	}
	if len(l.yard.probes) > 0 && !l.conn.Up() && !errors.Is(err, syscall.ECONNRESET) { // reset when new, it is there: somebody took the connection
		l.yard.shown(NotThere, l.yard.engine.Now(), func(p *probe) bool { return p.link == l })
	}
	open := l.open
	for i := range open {
		if !open[i].begun {
			l.yard.held--
		}
	}
	l.open = nil
	l.leave()
	for i, t := range open {
		l.yard.host.Ended(t.ticket, &End{Fault: ends[i]})
	}
}

// Data takes answers, whole ones in place.
func (l *link) Data(b []byte) error {
	l.heard = l.yard.engine.Now()
	l.used, l.pool.heard, l.pool.asked = l.heard, l.heard, time.Time{}
	if err := l.in.Take(l.yard.engine, b, l); err != nil {
		return err
	}
	l.flush()
	l.rest()
	return nil
}

// Next reads the answer that b begins with.
func (l *link) Next(b []byte) (int, error) {
	words := l.yard.words[:]
	n, size, err := resp.Parse(b, words, wordMost)
	switch {
	case errors.Is(err, resp.ErrShort):
		return 0, nil
	case err != nil:
		return 0, err
	case n < 2:
		return 0, resp.ErrBroken
	}
	l.answer(words[:n])
	return size, nil
}

// answer finds the trip that an answer is for. Late, repeated and unknown ones are nobody's.
func (l *link) answer(words [][]byte) {
	if len(l.yard.probes) > 0 && string(words[1]) == "well" {
		l.yard.shown(There, l.heard, func(p *probe) bool { return p.tag == string(words[0]) })
	}
	for i := range l.open {
		if string(l.open[i].get.ID[:]) != string(words[0]) {
			continue
		}
		t := l.open[i].ticket
		e := &l.yard.end
		*e = End{Word: Unknown}
		if w, ok := wordOf(words[1]); ok && (len(words) == 4 || w != Data && w != Unchanged) {
			e.Word = w
		}
		if len(words) > 2 {
			e.Fields = words[2]
		}
		if len(words) > 3 {
			e.Body = words[3]
		}
		l.remove(i)
		l.yard.host.Ended(t, e)
		return
	}
}

func wordOf(b []byte) (Word, bool) { w, ok := words[string(b)]; return w, ok }

// Beat closes what has been idle for long, and asks a cache that has said nothing for a while whether it is there:
// wards off sending visits into the connections of one that has vanished without a word.
func (y *Yard) Beat(now time.Time) {
	y.shown(NotThere, now, func(p *probe) bool { return now.After(p.ends) })
	for _, p := range y.pools {
		if p == nil || len(p.links) == 0 {
			continue
		}
		for i := len(p.links) - 1; i >= 0; i-- {
			l := p.links[i]
			l.flush()
			switch {
			case l.in.Len() > 0 && now.Sub(l.heard) > y.ask: // wards off waiting behind an answer that never ends
				l.conn.Fail(errStuck)
			case l.conn.Up() && len(l.open) == 0 && now.Sub(l.used) > y.idle:
				l.shut()
			}
		}
		switch {
		case !p.asked.IsZero() && now.Sub(p.asked) > y.connect:
			y.log.WithField("address", p.address).Warn("trips: no word from a cache, its connections are let go")
			p.heard, p.asked = now, time.Time{}
			y.retire(p)
		case p.asked.IsZero() && now.Sub(p.heard) > y.ask:
			for _, l := range p.links {
				if l.conn.Up() && !l.closed {
					p.asked = now
					l.conn.Send(resp.AppendWord(resp.AppendWord(resp.AppendArray(nil, 2), "PING"), "still"))
					break
				}
			}
		}
	}
}

// Get is one request.
type Get struct {
	Case       string
	ID, Object ID
	Part       int
	Budget     decide.Micros
	Source     string // "": no fill
	Rank       int
	Oldest     decide.Micros // 0: the use case's own
	Join, Held bool
	Renew      bool
	Have       []byte // the client's copy
	Key        []byte // by which repeats are dropped
}

// AppendGet writes a request up to its body, of the given length, which is to follow with a line's end. Spans are
// cut to whole milliseconds, never to 0, which would mean something else.
func AppendGet(b []byte, g *Get, body int, scratch []byte) ([]byte, []byte) {
	f := append(append(scratch[:0], "queue="...), g.Case...)
	f = append(append(f, ",path="...), g.Object[:]...)
	f = strconv.AppendInt(append(f, ",blk="...), int64(g.Part), 10)
	f = strconv.AppendInt(append(f, ",budget="...), millis(g.Budget), 10)
	if g.Source != "" {
		f = append(append(f, ",src="...), g.Source...)
	}
	if g.Rank > 0 {
		f = strconv.AppendInt(append(f, ",keep="...), int64(g.Rank), 10)
	}
	if g.Oldest > 0 {
		f = strconv.AppendInt(append(f, ",maxage="...), millis(g.Oldest), 10)
	}
	sep := ",flags="
	for _, flag := range [...]struct {
		on   bool
		name string
	}{{g.Join, "share"}, {g.Held, "peek"}, {g.Renew, "swr"}} {
		if flag.on {
			f = append(append(f, sep...), flag.name...)
			sep = "+"
		}
	}
	if len(g.Key) > 0 {
		f = append(append(f, ",uniq="...), g.Key...)
	}
	if len(g.Have) > 0 {
		f = append(append(f, ",have="...), g.Have...)
	}
	b = resp.AppendWord(resp.AppendWord(resp.AppendArray(b, 4), "GET"), g.ID[:])
	return resp.AppendHead(resp.AppendWord(b, f), body), f
}

func millis(t decide.Micros) int64 { return max(int64(t/1000), 1) }
