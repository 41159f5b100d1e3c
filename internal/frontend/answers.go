package frontend

import (
	"strconv"

	"threadrun/internal/msgpack"
	"threadrun/routing"
)

// answers finds the client's id of a request that is still owed its answer, and takes it off the list.
func (c *connection) answers(no uint64) (id uint64, owed bool) {
	for i := range c.open {
		if c.open[i].no == no {
			id = c.open[i].id
			c.drop(i)
			return id, true
		}
	}
	return 0, false
}

// Answer passes a whole answer on.
func (c *connection) Answer(no uint64, tag, body []byte, unchanged bool) {
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

// Reject tells the client that trying again is harmless, and when to, in milliseconds.
func (c *connection) Reject(no uint64, comeback routing.Micros) {
	if id, owed := c.answers(no); owed {
		pause := ""
		if comeback > 0 {
			pause = strconv.FormatInt(int64(comeback+999)/1000, 10)
		}
		c.sendError(id, "Shed", "pause", pause)
	}
}

// Fail tells the client that the request failed, and promises nothing.
func (c *connection) Fail(no uint64) {
	if id, owed := c.answers(no); owed {
		c.sendError(id, "Fault", "why", "")
	}
}

// refuse answers what never became a request.
func (c *connection) refuse(id uint64, why error) { c.sendError(id, "Fault", "why", why.Error()) }

// sendError answers with an error word and one field, where that has a value.
func (c *connection) sendError(id uint64, word, field, value string) {
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
func (c *connection) answer(parts ...[]byte) {
	c.answered = c.front.engine.Now()
	c.conn.Send(parts...)
}

func (c *connection) probed(id uint64) {
	f := c.front
	h := msgpack.AppendNil(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(f.head[:0], 4), 1), id))
	h = msgpack.AppendBool(msgpack.AppendArray(h, 2), f.handler.Ready())
	f.head = msgpack.AppendMap(h, 0)
	c.answer(f.head)
}
