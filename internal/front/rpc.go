package front

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/decide"
	"threadrun/internal/msgpack"
	"threadrun/internal/sockets"
)

// RPC is the platform's own front.
type RPC struct {
	engine  *sockets.Engine
	log     *logrus.Logger
	visits  Visits
	owed    int // visits without an answer
	backlog int // bytes that clients may leave unread, on one connection
	most    int // connections
	idle    time.Duration
	conns   map[*caller]struct{}
	crowded bool
	room    int // bytes that clients may have held of each kind: the two below, and answers unread
	held    int // bytes of unfinished requests
	bodies  int // bytes of requests that are owed an answer
	told    time.Time
	untold  int // connections closed for their clients' faults since then, without a line
	ask     Ask
	head    []byte
	tail    []byte
	peeked  []byte
}

// NewRPC makes the front. A client is cut off that leaves more than backlog bytes unread or reads nothing for the idle
// time; room is what all of them together may leave unread, and also what they may have held of unfinished requests,
// and of bodies. Where there are too many connections, those go first that have been idle longest.
func NewRPC(e *sockets.Engine, log *logrus.Logger, v Visits, backlog, room, most int, idle time.Duration) *RPC {
	f := &RPC{engine: e, log: log, visits: v, conns: map[*caller]struct{}{}}
	f.Bound(backlog, room, most, idle)
	return f
}

// Bound changes what clients are held to.
func (f *RPC) Bound(backlog, room, most int, idle time.Duration) {
	f.backlog, f.room, f.most, f.idle = backlog, room, most, idle
}

// Accept makes the object behind a client's connection.
func (f *RPC) Accept(c *sockets.Conn) sockets.Owner {
	now := f.engine.Now()
	if len(f.conns) >= f.most {
		if c := f.idlest(); c != nil {
			c.conn.Fail(errCrowded)
		}
		if !f.crowded {
			f.crowded = true
			f.log.WithField("connections", len(f.conns)).Warn("front: crowded, idle connections are closed")
		}
	}
	o := &caller{front: f, conn: c, used: now, moved: now, since: now}
	f.conns[o] = struct{}{}
	return o
}

// idlest finds the connection to give up for a newcomer: the one idle longest, on which nothing has come. Under a flood
// of connections a request may lie unread for long, and closing on it would lose it.
func (f *RPC) idlest() *caller {
	for range peeksMost {
		var oldest *caller
		for o := range f.conns {
			if len(o.open) == 0 && o.unread() == 0 && (oldest == nil || o.used.Before(oldest.used)) {
				oldest = o
			}
		}
		if oldest == nil || !oldest.conn.Waiting() {
			return oldest
		}
		oldest.used = f.engine.Now() // about to be heard
	}
	return nil
}

// Beat cuts off clients that have left too much unread, or nothing has been heard of for long. It is called under
// the lock, some tens of times a second.
func (f *RPC) Beat(now time.Time) {
	if f.crowded && len(f.conns) < f.most*3/4 {
		f.crowded = false
		f.log.WithField("connections", len(f.conns)).Info("front: no longer crowded")
	}
	total, most := 0, 0
	var worst *caller
	for c := range f.conns {
		unread := c.unread()
		if sent := c.conn.Sent(); sent != c.sent || unread == 0 {
			c.sent, c.moved = sent, now
		}
		switch {
		case unread > f.backlog || now.Sub(c.moved) > f.idle:
			c.conn.Fail(errUnread)
			continue
		case c.ending != nil && c.settled(now):
			c.conn.Fail(c.ending)
			continue
		case !c.since.IsZero() && now.Sub(c.since) > sayWithin && c.settled(now):
			c.conn.Fail(errSilent)
			continue
		case len(c.open) == 0 && unread == 0 && now.Sub(c.used) > f.idle && !c.conn.Waiting():
			c.conn.Fail(errIdle)
			continue
		}
		if total += unread; unread > most {
			worst, most = c, unread
		}
	}
	if total > f.room { // wards off many slow readers that fill the memory together
		worst.conn.Fail(errUnread)
	}
}

// Quiet tells that every visit has its answer and every answer is with the kernel.
func (f *RPC) Quiet() bool {
	if f.owed > 0 {
		return false
	}
	for c := range f.conns {
		if c.unread() != 0 {
			return false
		}
	}
	return true
}

// caller is one client's connection.
type caller struct {
	front   *RPC
	conn    *sockets.Conn
	in      sockets.Inbox
	open    []asked
	said    bool      // a whole message, in what has just come
	after   []byte    // what has come behind the message that is being read
	reading bool      // messages are being read
	last    uint64    // number given to a request
	used    time.Time // last request
	since   time.Time // it owes the rest of a request since, or its first; zero: it owes none
	moved   time.Time // last time that the client read, or had nothing to read
	sent    int64

	finished bool      // the client has ended its sending with what is being read
	answered time.Time // last answer
	ending   error     // what the connection ends for once nothing is owed on it; nothing is read on it any more
}

// settled tells whether nothing is owed on the connection and the last answer has had time to arrive: ending it sooner could meet
// bytes that lie unread with a reset, which takes what is still on its way along.
func (c *caller) settled(now time.Time) bool {
	return len(c.open) == 0 && c.unread() == 0 && now.Sub(c.answered) >= arriveWithin
}

func (c *caller) unread() int { return int(c.conn.Queued() - c.conn.Sent()) }

type asked struct {
	id    uint64 // the client's; it may come again once it is answered
	no    uint64 // ours, never the same twice on a connection
	visit decide.VisitID
	body  int // bytes that are held for it
}

const (
	messageMost = 1 << 20 // what is too large, but not absurd, gets an answer
	bodyMost    = 48_000
	spareOf     = 4096 // a request without a body is shorter
	openMost    = 32
	peekMost    = 1 << 16
	tagMost     = 64
	sayWithin   = 2500 * time.Millisecond // a request begun is whole, and the first one has come

	arriveWithin = 100 * time.Millisecond // an answer has arrived
	tellEvery    = time.Second
	peeksMost    = 8
)

// Kinds of MessagePack-RPC messages.
const (
	kindRequest      = 0
	kindNotification = 2
)

var (
	errNotRPC   = errors.New("not a message of this protocol")
	errSameID   = errors.New("an id that is open already")
	errTooMany  = errors.New("too many open requests")
	errUnread   = errors.New("answers left unread")
	errSilent   = errors.New("no whole request in time")
	errSameMark = errors.New("a visit's mark that is open already")
	errIdle     = errors.New("idle")
	errCrowded  = errors.New("idle among too many")
	errHeld     = errors.New("unfinished requests fill the memory")
	errField    = errors.New("unusable field")
	errDoubled  = errors.New("doubled field")
	errMissing  = errors.New("missing field")
	errBody     = errors.New("unusable body")
	errUseCase  = errors.New("unknown method")
	errTooLarge = errors.New("too large a body")
)

// Data takes requests, whole ones in place.
func (c *caller) Data(b []byte) error {
	if c.ending != nil {
		return nil
	}
	c.front.held -= c.in.Len()
	err := c.take(b)
	if err != nil {
		c.in.Drop(c.front.engine)
	}
	c.front.held += c.in.Len()
	if err != nil && !c.settled(c.used) { // what was read before still gets its answer
		c.ending = err
		return nil
	}
	return err
}

func (c *caller) take(b []byte) error {
	c.used, c.said = c.front.engine.Now(), false
	c.finished = c.conn.Finished()
	c.reading = true
	err := c.in.Take(c.front.engine, b, c)
	c.reading = false
	if err != nil {
		return err
	}
	switch { // bytes alone buy no time: wards off clients that say a request drop by drop
	case c.in.Len() == 0:
		c.since = time.Time{}
	case c.said || c.since.IsZero():
		c.since = c.used
	}
	if n := c.in.Len(); n > spareOf && c.front.held+n > c.front.room { // wards off a flood of halves of large requests
		return errHeld
	}
	return nil
}

// Next reads the message that b begins with.
func (c *caller) Next(b []byte) (int, error) {
	n, err := msgpack.Size(b, messageMost)
	if errors.Is(err, msgpack.ErrShort) && len(b) < messageMost {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.said, c.after = true, b[n:]
	err = c.message(b[:n])
	c.after = nil
	return n, err
}

func (c *caller) message(b []byte) error {
	r := msgpack.Read(b)
	n := r.Array()
	kind := r.Uint()
	switch {
	case r.Err() != nil:
		return errNotRPC
	case kind == kindNotification && n == 3:
		again := msgpack.Read(b)
		if id, ok := cancellation(&again); ok {
			c.gaveUp(id)
		}
		return nil // other notifications are nobody's
	case kind != kindRequest || n != 4:
		return errNotRPC
	}
	id := r.Uint()
	if r.Err() != nil {
		return errNotRPC
	}
	for i := range c.open { // wards off two answers that the client can't tell apart
		if c.open[i].id == id {
			return errSameID
		}
	}
	method := r.Bytes()
	if r.Err() != nil {
		c.refuse(id, errUseCase)
		return nil
	}
	if string(method) == "probe" {
		c.probed(id)
		return nil
	}
	if c.front.visits.Stalled() && c.cancelled(id) {
		return nil // nothing is owed any more
	}
	if c.finished { // none of it has gone anywhere, and no attempt may begin for a client that may be gone
		c.fault(id, "Shed", "why", "")
		return nil
	}
	ask := &c.front.ask
	*ask = Ask{}
	err := c.read(&r, method, ask)
	if err == nil && len(c.open) >= openMost {
		err = errTooMany
	}
	if err != nil {
		c.refuse(id, err)
		return nil
	}
	if n := len(ask.Body); n > 0 && c.front.bodies+n > c.front.room { // wards off a flood of writes that fills the memory
		c.fault(id, "Shed", "why", "") // none of it has gone anywhere
		return nil
	}
	c.last++
	c.open = append(c.open, asked{id: id, no: c.last, body: len(ask.Body)})
	c.front.owed++
	c.front.bodies += len(ask.Body)
	if !c.front.visits.Arrive(c, c.last, ask) {
		c.drop(len(c.open) - 1)
		c.refuse(id, errSameMark)
	}
	return nil
}

// fieldBits are the fields that count, each with its bit; others are passed over. The first five are needed.
var fieldBits = map[string]int{"trace": 1, "entity": 2, "piece": 4, "lot": 8, "patience": 16, "size": 32, "ver": 64, "nonce": 128, "customer": 256}

const needed = 1 | 2 | 4 | 8 | 16

// read checks all that a client says before any of it is passed on.
func (c *caller) read(r *msgpack.Reader, method []byte, a *Ask) error {
	use, ok := c.front.visits.UseCase(method)
	if !ok {
		return errUseCase
	}
	a.Case, a.Tenant = use, decide.NoTenant
	args := r.Array()
	if r.Err() != nil || args < 1 {
		return errMissing
	}
	seen := 0
	for pairs := r.Map(); pairs > 0; pairs-- {
		key := r.Bytes()
		if r.Err() != nil {
			return errField
		}
		bit := fieldBits[string(key)]
		if bit == 0 {
			r.Skip()
			continue
		}
		if k := r.Peek(); k != msgpack.Str && k != msgpack.Bin {
			return errField
		}
		value := r.Bytes()
		ok := true
		switch string(key) {
		case "trace":
			ok = copyMark(&a.Mark, value)
		case "entity":
			ok = copyMark(&a.Object, value)
		case "piece":
			var n uint64
			n, ok = digits(value, 1<<30)
			a.Part = int(n)
		case "lot":
			var n uint64
			n, ok = digits(value, 255)
			a.Group = decide.GroupID(n)
		case "patience":
			a.Patience, ok = span(value)
		case "size":
			a.KB, ok = decimal(value)
		case "ver":
			ok = word(value)
			a.Have = value
		case "nonce":
			ok = word(value)
			a.Key = value
		case "customer":
			a.Tenant = c.front.visits.Tenant(value)
		}
		if !ok {
			return errField
		}
		if seen&bit != 0 {
			return errDoubled
		}
		seen |= bit
	}
	if r.Err() != nil {
		return errField
	}
	if seen&needed != needed {
		return errMissing
	}
	if args > 1 {
		if r.Peek() == msgpack.Nil {
			return nil
		}
		if a.Body = r.Bytes(); r.Err() != nil {
			return errBody
		}
		if len(a.Body) > bodyMost {
			return errTooLarge
		}
	}
	return nil
}

// Gone tells whether the client has cancelled a request, or closed its connection, in what was not read yet.
func (c *caller) Gone(no uint64) bool {
	for i := range c.open {
		if c.open[i].no == no {
			return c.cancelled(c.open[i].id)
		}
	}
	return false
}

// cancelled looks at what lies unread for a cancellation of a request, or the connection's end.
func (c *caller) cancelled(id uint64) bool {
	f := c.front
	if f.peeked == nil {
		f.peeked = make([]byte, peekMost)
	}
	n, ended := c.conn.Peek(f.peeked)
	before := c.in.Held()
	if c.reading {
		before = c.after
	}
	if len(before) == 0 {
		return ended || cancels(f.peeked[:n], id)
	}
	return ended || cancels(append(append([]byte(nil), before...), f.peeked[:n]...), id)
}

// cancels tells whether one of the whole messages in b cancels a request.
func cancels(b []byte, id uint64) bool {
	for len(b) > 0 {
		n, err := msgpack.Size(b, messageMost)
		if err != nil || n == 0 {
			return false
		}
		r := msgpack.Read(b[:n])
		if of, ok := cancellation(&r); ok && of == id {
			return true
		}
		b = b[n:]
	}
	return false
}

// cancellation reads a message that cancels a request.
func cancellation(r *msgpack.Reader) (id uint64, ok bool) {
	if r.Array() != 3 || r.Uint() != kindNotification || string(r.Bytes()) != "giveUp" || r.Array() < 1 {
		return 0, false
	}
	id = r.Uint()
	return id, r.Err() == nil
}

// gaveUp ends what is owed for one request.
func (c *caller) gaveUp(id uint64) {
	for i := range c.open {
		if c.open[i].id == id {
			v := c.open[i].visit
			c.drop(i)
			c.front.visits.Left(v)
			return
		}
	}
}

// Closed ends what is owed on a connection that is gone.
func (c *caller) Closed(err error) {
	delete(c.front.conns, c)
	c.front.held -= c.in.Len()
	c.in.Drop(c.front.engine)
	if !errors.Is(err, errIdle) && !errors.Is(err, errCrowded) && sockets.Ours(err) {
		c.front.tell(c, err)
	}
	open := c.open
	c.open = nil
	c.front.owed -= len(open)
	for _, o := range open {
		c.front.bodies -= o.body
		c.front.visits.Left(o.visit)
	}
}

// tell logs a client's fault, at most one a second: a flood of them is not to fill the log.
func (f *RPC) tell(c *caller, err error) {
	if now := f.engine.Now(); now.Sub(f.told) >= tellEvery {
		f.log.WithError(err).WithFields(logrus.Fields{"client": c.conn, "untold": f.untold}).Warn("front: connection closed")
		f.told, f.untold = now, 0
		return
	}
	f.untold++
}

// Assigned ties the router's name for a visit to its request.
func (c *caller) Assigned(no uint64, v decide.VisitID) {
	for i := range c.open {
		if c.open[i].no == no {
			c.open[i].visit = v
		}
	}
}

func (c *caller) drop(i int) {
	c.front.bodies -= c.open[i].body
	c.open[i] = c.open[len(c.open)-1]
	c.open = c.open[:len(c.open)-1]
	c.front.owed--
}

// answers finds the client's id of a request that is still owed its answer, and takes it off the list.
func (c *caller) answers(no uint64) (id uint64, owed bool) {
	for i := range c.open {
		if c.open[i].no == no {
			id = c.open[i].id
			c.drop(i)
			return id, true
		}
	}
	return 0, false
}

// Deliver passes a whole answer on.
func (c *caller) Deliver(no uint64, tag, body []byte, unchanged bool) {
	id, owed := c.answers(no)
	if !owed {
		return
	}
	f := c.front
	h := msgpack.AppendNil(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(f.head[:0], 4), 1), id))
	f.head = msgpack.AppendBinHead(msgpack.AppendArray(h, 2), len(body))
	pairs := 0
	if len(tag) > 0 {
		pairs++
	}
	if unchanged {
		pairs++
	}
	f.tail = msgpack.AppendMap(f.tail[:0], pairs)
	if len(tag) > 0 {
		f.tail = msgpack.AppendStr(msgpack.AppendStr(f.tail, "ver"), tag)
	}
	if unchanged {
		f.tail = msgpack.AppendStr(msgpack.AppendStr(f.tail, "unchanged"), "1")
	}
	c.answer(f.head, body, f.tail)
}

// Defer tells the client that trying again is harmless, and when to, in milliseconds.
func (c *caller) Defer(no uint64, comeback decide.Micros) {
	if id, owed := c.answers(no); owed {
		pause := ""
		if comeback > 0 {
			pause = strconv.FormatInt(int64(comeback+999)/1000, 10)
		}
		c.fault(id, "Shed", "pause", pause)
	}
}

// Scrap tells the client that the visit failed, and promises nothing.
func (c *caller) Scrap(no uint64) {
	if id, owed := c.answers(no); owed {
		c.fault(id, "Fault", "why", "")
	}
}

// refuse answers what never became a visit.
func (c *caller) refuse(id uint64, why error) { c.fault(id, "Fault", "why", why.Error()) }

// fault answers with an error word and one field, where that has a value.
func (c *caller) fault(id uint64, word, field, value string) {
	f := c.front
	h := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(f.head[:0], 4), 1), id)
	h = msgpack.AppendStr(msgpack.AppendArray(h, 2), word)
	if value == "" {
		h = msgpack.AppendMap(h, 0)
	} else {
		h = msgpack.AppendStr(msgpack.AppendStr(msgpack.AppendMap(h, 1), field), value)
	}
	f.head = msgpack.AppendNil(h)
	c.answer(f.head)
}

// answer writes an answer.
func (c *caller) answer(parts ...[]byte) {
	c.answered = c.front.engine.Now()
	c.conn.Send(parts...)
}

func (c *caller) probed(id uint64) {
	f := c.front
	h := msgpack.AppendNil(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(f.head[:0], 4), 1), id))
	h = msgpack.AppendBool(msgpack.AppendArray(h, 2), f.visits.Ready())
	f.head = msgpack.AppendMap(h, 0)
	c.answer(f.head)
}

func copyMark(m *Mark, b []byte) bool {
	if len(b) != len(m) {
		return false
	}
	for i, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
		m[i] = c
	}
	return true
}

func digits(b []byte, most uint64) (uint64, bool) {
	if len(b) == 0 || len(b) > 12 {
		return 0, false
	}
	var n uint64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, n <= most
}

// decimal reads a plain number, not below 0.
func decimal(b []byte) (float64, bool) {
	if len(b) == 0 || len(b) > 24 || bytes.ContainsAny(b, "xXpP_iInN") {
		return 0, false
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil && x >= 0 && x < 1e9
}

// span reads milliseconds; what is below 0 is no time at all.
func span(b []byte) (decide.Micros, bool) {
	if len(b) > 1 && b[0] == '-' {
		_, ok := decimal(b[1:])
		return 0, ok
	}
	ms, ok := decimal(b)
	return decide.Micros(ms * 1000), ok
}

// word checks a tag that is to stand in a list of fields.
func word(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == ',' || c >= 0x7f {
			return false
		}
	}
	return len(b) <= tagMost
}
