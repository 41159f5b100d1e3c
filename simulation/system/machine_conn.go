package system

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"threadrun/internal/resp"
	"threadrun/internal/transport"
	"threadrun/simulation/invariants"
	"threadrun/simulation/network"
)

const (
	maxMessage = 1 << 20 // bytes
	headBytes  = 24      // of an answer, sent under faults.Truncate
)

// answerStatus is the status of a machine's answer.
type answerStatus string

const (
	answerPong      answerStatus = "well"
	answerData      answerStatus = "data"
	answerUnchanged answerStatus = "unchanged"
	answerAbsent    answerStatus = "absent"
	answerFull      answerStatus = "full"
	answerFailed    answerStatus = "failed"
)

const noFields = "-" // the fields of an answer without any

// machineConn is a router's connection to a machine.
type machineConn struct {
	machine   *machine
	conn      *transport.Conn
	input     transport.ReceiveBuffer
	bytesRead int64
	words     [4][]byte  // of the message that is being handled
	open      []*attempt // attempts that have not ended
}

// attempt is a router's attempt at a machine.
type attempt struct {
	conn         *machineConn
	id           string // assigned by the router
	attemptID    invariants.AttemptID
	request      invariants.RequestID
	router       invariants.RouterID
	object       int    // its number; negative: unknown
	objectKey    string // of the machine's copies and fills
	source       string // name of the machine to fill from
	rank         int    // of the copy, if it is kept
	maxAge       Micros // of the copy
	canJoin      bool   // it may join a running fill
	onlyIfCached bool
	knownETag    string // of the router's copy
	isWrite      bool
	receivedAt   Micros
	ended        bool
	executed     bool // its write was carried out
}

// Data handles data from the router.
func (c *machineConn) Data(b []byte) error { return c.input.Decode(c.machine.engine, b, c) }

// Next handles the message at the beginning of b.
func (c *machineConn) Next(b []byte) (int, error) {
	s := c.machine.sim
	n, size, err := resp.Parse(b, c.words[:], maxMessage)
	if errors.Is(err, resp.ErrIncomplete) {
		return 0, nil
	}
	if err != nil {
		s.addProblem("a machine can't parse a message: %v", err)
		return 0, err
	}
	sentAt := network.WrittenAt(c.conn.Socket(), c.bytesRead)
	c.bytesRead += int64(size)
	switch word := string(c.words[0]); {
	case word == "PING" && n == 2:
		c.sendAnswer(answerPong, string(c.words[1]), noFields, "")
	case word == "DROP" && n == 2:
		c.cancel(string(c.words[1]), sentAt)
	case word == "GET" && n == 4:
		c.receiveAttempt(sentAt)
	default:
		s.addProblem("a machine received the unknown message %q", word)
	}
	return size, nil
}

// cancel ends the open attempt with an id that the router assigned, if there is one.
func (c *machineConn) cancel(id string, at Micros) {
	for _, a := range c.open {
		if a.id == id {
			a.end(invariants.Unanswered, 0, at)
			return
		}
	}
}

// Closed ends all open attempts.
func (c *machineConn) Closed(error) {
	at := c.closedAt()
	for len(c.open) > 0 {
		c.open[0].end(invariants.Unanswered, 0, at)
	}
	c.machine.connections = removeItem(c.machine.connections, c)
	c.input.Release(c.machine.engine)
}

// closedAt returns when the router closed the connection, or else now.
func (c *machineConn) closedAt() Micros {
	if at := network.ClosedAt(c.conn.Socket()); at != 0 {
		return at
	}
	return c.machine.sim.world.Now()
}

// receiveAttempt handles the attempt in c.words, which the router wrote at sentAt.
func (c *machineConn) receiveAttempt(sentAt Micros) {
	s := c.machine.sim
	a := &attempt{
		conn:    c,
		id:      string(c.words[1]),
		router:  s.routerAt(c.conn.String()),
		isWrite: len(c.words[3]) > 0,
	}
	timeout := a.parse(c.words[2])
	if a.maxAge == 0 {
		a.maxAge = freshFor
	}
	request, err := strconv.ParseUint(a.id, 16, 64)
	if err != nil {
		s.addProblem("an attempt has the id %q, which is not a hexadecimal number", a.id)
	}
	s.lastAttempt++
	a.receivedAt = s.world.Now()
	a.attemptID = s.lastAttempt
	a.request = invariants.RequestID(request)
	source := invariants.NoMachine
	if m := s.machineNamed(a.source); m != nil {
		source = m.id
	}
	c.open = append(c.open, a)
	s.observe(invariants.Event{
		Kind: invariants.AttemptReceived, Request: a.request, Router: a.router, Machine: c.machine.id, Source: source,
		Attempt: a.attemptID, SentAt: sentAt, Timeout: timeout,
	})
	c.machine.admit(a)
}

// parse parses an attempt's fields, and returns the timeout among them.
func (a *attempt) parse(fields []byte) (timeout Micros) {
	name, block := "", ""
	for _, pair := range bytes.Split(fields, []byte(",")) {
		key, value, _ := strings.Cut(string(pair), "=")
		switch key {
		case "path":
			name = value
		case "blk":
			block = value
		case "src":
			a.source = value
		case "budget":
			timeout = parseMillis(value)
		case "keep":
			a.rank, _ = strconv.Atoi(value)
		case "maxage":
			a.maxAge = parseMillis(value)
		case "have":
			a.knownETag = value
		case "flags":
			for _, flag := range strings.Split(value, "+") {
				a.canJoin = a.canJoin || flag == "share"
				a.onlyIfCached = a.onlyIfCached || flag == "peek"
			}
		}
	}
	a.object = objectNumber(name)
	a.objectKey = name + "/" + block
	return timeout
}

// end ends an attempt at a time that may be in the past. createdAt is when the copy in its answer was created; 0: the
// answer has no copy.
func (a *attempt) end(outcome invariants.Outcome, createdAt, at Micros) {
	if a.ended {
		return
	}
	a.ended = true
	c := a.conn
	c.open = removeItem(c.open, a)
	c.machine.sim.observe(invariants.Event{
		Kind: invariants.AttemptEnded, Attempt: a.attemptID, Outcome: outcome, EffectiveAt: createdAt, SentAt: at,
	})
}

// respond answers an attempt and ends it, unless it has ended before.
func (a *attempt) respond(status answerStatus, fields, body string, createdAt Micros) {
	if a.ended {
		return
	}
	m := a.conn.machine
	b := encodeAnswer(status, a.id, fields, body)
	if m.truncating > 0 && len(b) > headBytes {
		b = b[:headBytes]
	}
	a.conn.conn.Send(b)
	if m.halfClosing > 0 {
		a.conn.conn.CloseWrite()
	}
	if m.truncating > 0 { // the attempt stays open, since the rest of its answer is never written
		return
	}
	outcome := invariants.MayHaveRun
	switch status {
	case answerData, answerUnchanged:
		outcome = invariants.Succeeded
	case answerAbsent, answerFull:
		outcome = invariants.NotRun
	}
	a.end(outcome, createdAt, m.sim.world.Now())
}

// sendAnswer sends the answer to a message that is not an attempt.
func (c *machineConn) sendAnswer(status answerStatus, id, fields, body string) {
	c.conn.Send(encodeAnswer(status, id, fields, body))
}

func encodeAnswer(status answerStatus, id, fields, body string) []byte {
	b := resp.AppendArray(nil, 4)
	for _, w := range [...]string{id, string(status), fields, body} {
		b = resp.AppendWord(b, w)
	}
	return b
}
