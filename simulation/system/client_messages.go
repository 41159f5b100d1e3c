package system

import (
	"fmt"
	"strings"

	"threadrun/internal/msgpack"
	"threadrun/simulation/invariants"
)

// The types of messages in the client protocol, and the number of elements of each type.
const (
	messageRequest      = 0
	messageAnswer       = 1
	messageNotification = 2

	requestElements      = 4
	answerElements       = 4
	notificationElements = 3
)

const shedError = "Shed" // the error in the answer to a rejected request

const smallBody = "a write" // body of a write, except under faults.LargeWrites

// largeBody is the body of a write under faults.LargeWrites. It is slightly smaller than the size limit of writes,
// so that sending it takes several writes to the socket.
var largeBody = strings.Repeat("w", 45_000)

// encodeProbe encodes the request that asks a router whether it is ready.
func encodeProbe(id uint64) []byte {
	b := appendRequestHead(nil, id)
	return msgpack.AppendMap(msgpack.AppendArray(msgpack.AppendStr(b, "probe"), 1), 0)
}

// encodeCancel encodes the notification that cancels the request with an id.
func encodeCancel(id uint64) []byte {
	b := msgpack.AppendUint(msgpack.AppendArray(nil, notificationElements), messageNotification)
	b = msgpack.AppendStr(b, "giveUp")
	return msgpack.AppendUint(msgpack.AppendArray(b, 1), id)
}

// encodeRequest encodes a request for an object of a group. large selects the body of a write.
func encodeRequest(r *clientRequest, group int, large bool) []byte {
	fields := [...][2]string{
		{"trace", fmt.Sprintf("%016x", uint64(r.request))},
		{"entity", objectName(r.object)},
		{"piece", "0"},
		{"lot", fmt.Sprint(group)},
		{"patience", fmt.Sprint(int((r.deadline - r.sentAt) / ms))},
		{"size", fmt.Sprint(objectKB)},
	}
	b := appendRequestHead(nil, r.id)
	b = msgpack.AppendArray(msgpack.AppendStr(b, classes[r.class].name), 2)
	b = msgpack.AppendMap(b, len(fields))
	for _, f := range fields {
		b = msgpack.AppendStr(msgpack.AppendStr(b, f[0]), f[1])
	}
	body := ""
	if !r.idempotent() {
		body = smallBody
		if large {
			body = largeBody
		}
	}
	return append(msgpack.AppendBinHead(b, len(body)), body...)
}

func appendRequestHead(b []byte, id uint64) []byte {
	b = msgpack.AppendUint(msgpack.AppendArray(b, requestElements), messageRequest)
	return msgpack.AppendUint(b, id)
}

// clientAnswer is a router's answer to a request or a probe.
type clientAnswer struct {
	id      uint64
	outcome invariants.Outcome
	probe   bool // it answers a probe
	ready   bool // the answer to the probe
}

// decodeAnswer decodes an answer. It returns false if b is not an answer.
func decodeAnswer(b []byte) (clientAnswer, bool) {
	r := msgpack.Read(b)
	if r.Array() != answerElements || r.Uint() != messageAnswer {
		return clientAnswer{}, false
	}
	a := clientAnswer{id: r.Uint(), outcome: invariants.Succeeded}
	if r.Peek() == msgpack.Array {
		r.Array()
		a.outcome = invariants.Failed
		if string(r.Bytes()) == shedError {
			a.outcome = invariants.Rejected
		}
		return a, true
	}
	r.Skip()
	r.Array()
	if r.Peek() == msgpack.Bool {
		a.probe = true
		a.ready = r.Bool()
	}
	return a, true
}
