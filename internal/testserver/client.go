package testserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"threadrun/internal/msgpack"
)

// Client is a toy client on one connection.
type Client struct {
	conn       net.Conn
	mu         sync.Mutex
	lastID     uint64
	pending    map[uint64]chan *Answer
	Unexpected chan *Answer // answers that nothing waits for: one too many
	closed     chan struct{}
}

// Answer is what came under an id.
type Answer struct {
	ID     uint64
	Error  string // the word; "" if there was none
	Body   []byte
	Flag   bool // of a probe
	Fields map[string]string
}

// Connect makes a client's connection.
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

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Closed is closed when the connection is.
func (c *Client) Closed() <-chan struct{} { return c.closed }

// Write sends raw bytes.
func (c *Client) Write(b []byte) { _, _ = c.conn.Write(b) }

// Send sends a request and gives its id and where the answer comes.
func (c *Client) Send(method string, fields map[string]string, body []byte) (uint64, <-chan *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	ch := make(chan *Answer, 1)
	c.pending[c.lastID] = ch
	_, _ = c.conn.Write(Request(c.lastID, method, fields, body))
	return c.lastID, ch
}

// Cancel stops waiting.
func (c *Client) Cancel(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
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

// RequestParams gives the fields of a request.
func RequestParams(trace uint64, object string, patience time.Duration) map[string]string {
	return map[string]string{"trace": fmt.Sprintf("%016x", trace), "entity": object, "piece": "0", "lot": "7",
		"patience": fmt.Sprint(patience.Milliseconds()), "size": "100.5"}
}

func (c *Client) read() {
	defer close(c.closed)
	r := bufio.NewReaderSize(c.conn, 1<<16)
	var held []byte
	buf := make([]byte, 1<<16)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		held = append(held, buf[:n]...)
		for {
			size, err := msgpack.Size(held, 1<<20)
			if err != nil {
				break
			}
			if a, err := answer(held[:size]); err == nil {
				c.mu.Lock()
				ch := c.pending[a.ID]
				delete(c.pending, a.ID)
				c.mu.Unlock()
				if ch != nil {
					ch <- a
				} else {
					c.Unexpected <- a
				}
			}
			held = append([]byte(nil), held[size:]...)
		}
	}
}

func answer(b []byte) (*Answer, error) {
	r := msgpack.Read(b)
	if r.Array() != 4 || r.Uint() != 1 {
		return nil, io.ErrUnexpectedEOF
	}
	a := &Answer{ID: r.Uint(), Fields: map[string]string{}}
	bad := r.Peek() == msgpack.Array
	if !bad {
		r.Skip()
	}
	r.Array()
	switch {
	case bad:
		a.Error = string(r.Bytes())
	case r.Peek() == msgpack.Bool:
		a.Flag = r.Truth()
	default:
		a.Body = append([]byte(nil), r.Bytes()...)
	}
	for n := r.Map(); n > 0; n-- {
		k := string(r.Bytes())
		a.Fields[k] = string(r.Bytes())
	}
	return a, r.Err()
}
