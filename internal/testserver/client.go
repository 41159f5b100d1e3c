package testserver

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"threadrun/internal/msgpack"
)

// Client is a client of a router with one connection.
type Client struct {
	conn       net.Conn
	mu         sync.Mutex // guards lastID and pending
	lastID     uint64
	pending    map[uint64]chan *Answer // by request id
	Unexpected chan *Answer            // answers that no request is waiting for
	closed     chan struct{}
}

// Answer is the answer to the request with an ID.
type Answer struct {
	ID     uint64
	Error  string // name of the error in the client protocol; empty: none
	Body   []byte
	Ready  bool // in the answer to a probe: whether the router is ready
	Fields map[string]string
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

// Write sends raw bytes.
func (c *Client) Write(b []byte) { _, _ = c.conn.Write(b) }

// Send sends a request. It returns the request's id and the channel that will receive the answer.
func (c *Client) Send(method string, fields map[string]string, body []byte) (uint64, <-chan *Answer) {
	return c.SendInPieces(method, fields, body, 0)
}

// SendInPieces sends a request as Send does, in two pieces if pause is positive: the time between them.
func (c *Client) SendInPieces(method string, fields map[string]string, body []byte, pause time.Duration) (
	uint64, <-chan *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	ch := make(chan *Answer, 1)
	c.pending[c.lastID] = ch
	whole := Request(c.lastID, method, fields, body)
	if pause > 0 {
		_, _ = c.conn.Write(whole[:len(whole)/2])
		whole = whole[len(whole)/2:]
		time.Sleep(pause)
	}
	_, _ = c.conn.Write(whole)
	return c.lastID, ch
}

// Cancel cancels a request. Its channel will not receive an answer.
func (c *Client) Cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock() // a request may be written in two pieces
	delete(c.pending, id)
	b := msgpack.AppendStr(msgpack.AppendUint(msgpack.AppendArray(nil, 3), 2), "giveUp")
	c.Write(msgpack.AppendUint(msgpack.AppendArray(b, 1), id))
}

// Request encodes a request.
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

// RequestParams returns the fields of a request for an object, whose name consists of 16 hexadecimal digits.
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
			return
		}
		received = append(received, buffer[:n]...)
		for {
			size, err := msgpack.Size(received, maxAnswerSize)
			if err != nil {
				break
			}
			if answer, err := parseAnswer(received[:size]); err == nil {
				c.handOver(answer)
			}
			received = append([]byte(nil), received[size:]...)
		}
	}
}

func (c *Client) handOver(answer *Answer) {
	c.mu.Lock()
	waiting := c.pending[answer.ID]
	delete(c.pending, answer.ID)
	c.mu.Unlock()
	if waiting == nil {
		waiting = c.Unexpected
	}
	waiting <- answer
}

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
