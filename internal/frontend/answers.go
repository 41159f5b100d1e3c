package frontend

import (
	"strconv"

	"threadrun/internal/msgpack"
	"threadrun/routing"
)

// takeOpen finds the client's id of a request that is still owed its answer, and takes it off the list.
func (c *connection) takeOpen(no uint64) (id uint64, owed bool) {
	for i := range c.open {
		if c.open[i].number == no {
			id = c.open[i].id
			c.removeOpen(i)
			return id, true
		}
	}
	return 0, false
}

// Answer passes a whole answer on.
func (c *connection) Answer(no uint64, tag, body []byte, unchanged bool) {
	id, owed := c.takeOpen(no)
	if !owed {
		return
	}
	f := c.server
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
	c.send(f.head, body, f.tail)
}

// Reject tells the client that trying again is harmless, and when to, in milliseconds.
func (c *connection) Reject(no uint64, comeback routing.Micros) {
	if id, owed := c.takeOpen(no); owed {
		pause := ""
		if comeback > 0 {
			pause = strconv.FormatInt(int64(comeback+999)/1000, 10)
		}
		c.sendError(id, "Shed", "pause", pause)
	}
}

// Fail tells the client that the request failed, and promises nothing.
func (c *connection) Fail(no uint64) {
	if id, owed := c.takeOpen(no); owed {
		c.sendError(id, "Fault", "why", "")
	}
}

// sendBadRequest answers what never became a request.
func (c *connection) sendBadRequest(id uint64, why error) {
	c.sendError(id, "Fault", "why", why.Error())
}

// sendError answers with an error word and one field, where that has a value.
func (c *connection) sendError(id uint64, word, field, value string) {
	f := c.server
	h := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(f.head[:0], 4), 1), id)
	h = msgpack.AppendStr(msgpack.AppendArray(h, 2), word)
	if value == "" {
		h = msgpack.AppendMap(h, 0)
	} else {
		h = msgpack.AppendStr(msgpack.AppendStr(msgpack.AppendMap(h, 1), field), value)
	}
	f.head = msgpack.AppendNil(h)
	c.send(f.head)
}

// send writes an answer.
func (c *connection) send(parts ...[]byte) {
	c.lastAnswer = c.server.engine.Now()
	c.conn.Send(parts...)
}

func (c *connection) sendReady(id uint64) {
	f := c.server
	h := msgpack.AppendNil(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(f.head[:0], 4), 1), id))
	h = msgpack.AppendBool(msgpack.AppendArray(h, 2), f.handler.Ready())
	f.head = msgpack.AppendMap(h, 0)
	c.send(f.head)
}
