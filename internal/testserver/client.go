package testserver

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"threadrun/internal/msgpack"
)

// Client is a client of a router with one connection. It speaks the client protocol, which is MessagePack-RPC: a
// message is an array that begins with its type, 0 for a request, 1 for a response or 2 for a notification.
type Client struct {
	conn       net.Conn
	mu         sync.Mutex // guards lastID and pending; also held while a request or a cancellation is written
	lastID     uint64
	pending    map[uint64]chan *Answer // by request id
	Unexpected chan *Answer            // answers that no request is waiting for
	closed     chan struct{}           // closed when the connection has ended
	endedAt    time.Time               // when the connection ended; set before closed is closed
}

// Answer is a router's answer to a request.
type Answer struct {
	ID     uint64 // of the request
	Error  string // name of the error in the client protocol; empty: none
	Body   []byte
	Ready  bool              // in the answer to a probe: whether the router is ready
	Fields map[string]string // by their names in the client protocol
}

// Connect connects to a router and returns the Client.
func Connect(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{
		conn:       conn,
		pending:    map[uint64]chan *Answer{},
		Unexpected: make(chan *Answer, 64),
		closed:     make(chan struct{}),
	}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Closed returns a channel that is closed when the connection has ended.
func (c *Client) Closed() <-chan struct{} { return c.closed }

// EndedAt returns when the connection ended. It waits until it has ended.
func (c *Client) EndedAt() time.Time {
	<-c.closed
	return c.endedAt
}

// Write sends raw bytes.
func (c *Client) Write(b []byte) { _, _ = c.conn.Write(b) }

// Send sends a request. It returns the request's id and a channel that will receive the answer.
func (c *Client) Send(method string, fields map[string]string, body []byte) (uint64, <-chan *Answer) {
	return c.SendInPieces(method, fields, body, 0)
}

// SendInPieces sends a request like Send. If pause is positive, it writes the request in two halves, with the pause
// between them.
func (c *Client) SendInPieces(method string, fields map[string]string, body []byte, pause time.Duration) (
	uint64, <-chan *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	ch := make(chan *Answer, 1)
	c.pending[c.lastID] = ch
	encoded := Request(c.lastID, method, fields, body)
	if pause > 0 {
		_, _ = c.conn.Write(encoded[:len(encoded)/2])
		encoded = encoded[len(encoded)/2:]
		time.Sleep(pause)
	}
	_, _ = c.conn.Write(encoded)
	return c.lastID, ch
}

// Cancel cancels a request, with the notification giveUp. The request's channel will not receive an answer.
func (c *Client) Cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock() // held during the write, because SendInPieces may have written half a request
	delete(c.pending, id)
	b := msgpack.AppendStr(msgpack.AppendUint(msgpack.AppendArray(nil, 3), 2), "giveUp")
	c.Write(msgpack.AppendUint(msgpack.AppendArray(b, 1), id))
}

// Request encodes a request: the message type 0, the id, the method and an array of the fields and the body. The method
// probe, which asks whether the router is ready, has neither fields nor a body.
func Request(id uint64, method string, fields map[string]string, body []byte) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), id)
	b = msgpack.AppendStr(b, method)
	if method == "probe" {
		return msgpack.AppendMap(msgpack.AppendArray(b, 1), 0)
	}
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(fields))
	for k, v := range fields {
		b = msgpack.AppendStr(msgpack.AppendStr(b, k), v)
	}
	return append(msgpack.AppendBinHead(b, len(body)), body...)
}

// RequestParams returns the fields of a request for the first part of an object of group 7. The object's name must
// consist of 16 hexadecimal digits.
func RequestParams(traceID uint64, object string, timeout time.Duration) map[string]string {
	return map[string]string{
		"trace":    fmt.Sprintf("%016x", traceID),
		"entity":   object,
		"piece":    "0",
		"lot":      "7",
		"patience": fmt.Sprint(timeout.Milliseconds()),
		"size":     "100.5",
	}
}

const (
	readBufferSize = 1 << 16
	maxAnswerSize  = 1 << 20
)

// read delivers answers until the connection ends.
func (c *Client) read() {
	defer close(c.closed)
	var received []byte
	buffer := make([]byte, readBufferSize)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			c.endedAt = time.Now()
			return
		}
		received = append(received, buffer[:n]...)
		for {
			size, err := msgpack.Size(received, maxAnswerSize)
			if err != nil {
				break
			}
			if answer, err := parseAnswer(received[:size]); err == nil {
				c.deliver(answer)
			}
			received = append([]byte(nil), received[size:]...)
		}
	}
}

// deliver sends an answer to the channel of its request, or to Unexpected if no request is waiting for it.
func (c *Client) deliver(answer *Answer) {
	c.mu.Lock()
	receiver := c.pending[answer.ID]
	delete(c.pending, answer.ID)
	c.mu.Unlock()
	if receiver == nil {
		receiver = c.Unexpected
	}
	receiver <- answer
}

// parseAnswer parses an answer: an array of the message type 1, the request's id, the error and the result. The error
// is nil or an array of a name and fields; the result of a success is an array of the body (for a probe, whether the
// router is ready) and fields.
func parseAnswer(b []byte) (*Answer, error) {
	r := msgpack.Read(b)
	if r.Array() != 4 || r.Uint() != 1 {
		return nil, io.ErrUnexpectedEOF
	}
	answer := &Answer{ID: r.Uint(), Fields: map[string]string{}}
	failed := r.Peek() == msgpack.Array
	if !failed {
		r.Skip()
	}
	r.Array()
	switch {
	case failed:
		answer.Error = string(r.Bytes())
	case r.Peek() == msgpack.Bool:
		answer.Ready = r.Bool()
	default:
		answer.Body = append([]byte(nil), r.Bytes()...)
	}
	for n := r.Map(); n > 0; n-- {
		name := string(r.Bytes())
		answer.Fields[name] = string(r.Bytes())
	}
	return answer, r.Err()
}
