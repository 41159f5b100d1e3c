package frontend

import (
	"strconv"

	"threadrun/internal/msgpack"
	"threadrun/routing"
)

// Answer implements Client: it sends a successful answer. version is the version tag of the copy, or empty. If
// notModified is set, the client's copy is current.
func (c *connection) Answer(number RequestNumber, version, body []byte, notModified bool) {
	id, open := c.popRequest(number)
	if !open {
		return
	}
	s := c.server
	head := msgpack.AppendNil(appendResponse(s.head[:0], id))
	s.head = msgpack.AppendBinHead(msgpack.AppendArray(head, 2), len(body))
	s.tail = appendAnswerFields(s.tail[:0], version, notModified)
	c.send(s.head, body, s.tail)
}

// appendAnswerFields appends the map of the fields of a successful answer.
func appendAnswerFields(b, version []byte, notModified bool) []byte {
	pairs := 0
	if len(version) > 0 {
		pairs++
	}
	if notModified {
		pairs++
	}
	b = msgpack.AppendMap(b, pairs)
	if len(version) > 0 {
		b = msgpack.AppendStr(msgpack.AppendStr(b, wireVersion), version)
	}
	if notModified {
		b = msgpack.AppendStr(msgpack.AppendStr(b, wireNotModified), "1")
	}
	return b
}

// Reject implements Client: it answers that a retry is safe after the given time. If retryAfter is 0, the client is not
// told when to retry.
func (c *connection) Reject(number RequestNumber, retryAfter routing.Micros) {
	id, open := c.popRequest(number)
	if !open {
		return
	}
	milliseconds := ""
	if retryAfter > 0 {
		milliseconds = strconv.FormatInt(int64(retryAfter+999)/1000, 10) // rounded up
	}
	c.sendError(id, wireRejected, wireRetryAfter, milliseconds)
}

// Fail implements Client: it answers that the request failed, and does not say whether a retry is safe.
func (c *connection) Fail(number RequestNumber) {
	if id, open := c.popRequest(number); open {
		c.sendError(id, wireFailed, wireReason, "")
	}
}

// sendBadRequest answers a request that was refused for a reason that the client must correct.
func (c *connection) sendBadRequest(id uint64, reason error) {
	c.sendError(id, wireFailed, wireReason, reason.Error())
}

// sendRejected answers a request that was not passed to the Handler, so that a retry is safe.
func (c *connection) sendRejected(id uint64) { c.sendError(id, wireRejected, wireReason, "") }

// sendError answers with an error code, and with one field unless its value is empty.
func (c *connection) sendError(id uint64, code, field, value string) {
	s := c.server
	head := msgpack.AppendStr(msgpack.AppendArray(appendResponse(s.head[:0], id), 2), code)
	if value == "" {
		head = msgpack.AppendMap(head, 0)
	} else {
		head = msgpack.AppendStr(msgpack.AppendStr(msgpack.AppendMap(head, 1), field), value)
	}
	s.head = msgpack.AppendNil(head)
	c.send(s.head)
}

// sendReady answers a probe with whether the router is ready.
func (c *connection) sendReady(id uint64) {
	s := c.server
	head := msgpack.AppendNil(appendResponse(s.head[:0], id))
	head = msgpack.AppendBool(msgpack.AppendArray(head, 2), s.handler.Ready())
	s.head = msgpack.AppendMap(head, 0)
	c.send(s.head)
}

// appendResponse appends the start of a response: everything before the error element.
func appendResponse(b []byte, id uint64) []byte {
	return msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(b, responseLength), kindResponse), id)
}

// maxGatheredAnswers is the number of bytes of answers that are gathered before they are sent.
const maxGatheredAnswers = 1 << 15

// send sends the parts of an answer. Answers to requests that are being decoded are gathered, and sent together: a
// client that sends thousands of requests at once, which are all turned away, would otherwise cost as many system
// calls.
func (c *connection) send(parts ...[]byte) {
	s := c.server
	c.lastAnswer = s.engine.Now()
	if !c.decoding {
		c.conn.Send(parts...)
		return
	}
	for _, part := range parts {
		s.gathered = append(s.gathered, part...)
	}
	if len(s.gathered) >= maxGatheredAnswers {
		c.sendGathered()
	}
}

// sendGathered sends the answers that were gathered while the connection's bytes were decoded.
func (c *connection) sendGathered() {
	s := c.server
	if len(s.gathered) > 0 {
		c.conn.Send(s.gathered)
		s.gathered = s.gathered[:0]
	}
}
