package stage

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"

	"threadrun/internal/testserver"
)

// Request is a GET that has come whole to a cache.
type Request struct {
	ID     string
	Fields map[string]string
	Body   string
	conn   *conn
	gaveUp chan struct{} // closed when the request is given up: by a DROP, or by the end of its connection
	once   sync.Once
}

// GivenUp returns a channel that is closed when the router has given the request up.
func (r *Request) GivenUp() <-chan struct{} { return r.gaveUp }

func (r *Request) giveUp() { r.once.Do(func() { close(r.gaveUp) }) }

// Reply writes an answer to the request.
func (r *Request) Reply(word, fields, body string) { r.ReplyAs(r.ID, word, fields, body) }

// ReplyAs writes an answer under an id.
func (r *Request) ReplyAs(id, word, fields, body string) {
	r.conn.write(testserver.Array(id, word, fields, body))
}

type conn struct {
	net.Conn
	mu   sync.Mutex
	open map[string]*Request
}

func (c *conn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write([]byte(text))
}

// Cache is a cache, a parent or the origin. Handle is called for each GET on a goroutine of its own.
type Cache struct {
	Name     string
	listener net.Listener
	handle   func(*Request)
	mu       sync.Mutex
	open     map[*conn]bool
}

// Kill closes the listener and resets all connections, as the end of a process does.
func (c *Cache) Kill() {
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for connection := range c.open {
		if t, ok := connection.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// StartCache starts a cache on a free loopback port.
func StartCache(name string, handle func(*Request)) (*Cache, error) {
	return StartCacheAt(name, AnyPort, handle)
}

// StartCacheAt starts a cache at an address.
func StartCacheAt(name, address string, handle func(*Request)) (*Cache, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, listener: l, handle: handle, open: map[*conn]bool{}}
	go c.accept()
	return c, nil
}

// Address returns the address of the cache.
func (c *Cache) Address() string { return c.listener.Addr().String() }

func (c *Cache) accept() {
	for {
		raw, err := c.listener.Accept()
		if err != nil {
			return
		}
		connection := &conn{Conn: raw, open: map[string]*Request{}}
		c.mu.Lock()
		c.open[connection] = true
		c.mu.Unlock()
		go c.serve(connection)
	}
}

// serve reads the commands of one connection. Its end gives up all that is open on it.
func (c *Cache) serve(connection *conn) {
	defer func() {
		_ = connection.Close()
		c.mu.Lock()
		delete(c.open, connection)
		c.mu.Unlock()
		connection.mu.Lock()
		defer connection.mu.Unlock()
		for _, r := range connection.open {
			r.giveUp()
		}
	}()
	reader := bufio.NewReaderSize(connection, 1<<16)
	for {
		words, err := testserver.ReadArray(reader)
		if err != nil {
			return
		}
		switch {
		case words[0] == "PING" && len(words) == 2:
			connection.write(testserver.Array(words[1], "well", "-", ""))
		case words[0] == "DROP" && len(words) == 2:
			connection.mu.Lock()
			if r := connection.open[words[1]]; r != nil {
				r.giveUp()
			}
			connection.mu.Unlock()
		case words[0] == "GET" && len(words) == 4:
			r := &Request{ID: words[1], Fields: testserver.Fields(words[2]), Body: words[3], conn: connection,
				gaveUp: make(chan struct{})}
			connection.mu.Lock()
			connection.open[r.ID] = r
			connection.mu.Unlock()
			go c.handle(r)
		default:
			return
		}
	}
}

// Entry returns the entry of an endpoint in a list.
func Entry(c *Cache, zone, kind, state string) string {
	return testserver.EndpointJSON(c.Name, c.Address(), zone, kind, state, 0)
}

// Data answers with the copy of an object: size bytes that begin with its name.
func Data(r *Request, size int, made time.Time, detail string) {
	body := r.Fields["path"] + "/" + r.Fields["blk"] + " "
	if size > len(body) {
		body += strings.Repeat(".", size-len(body))
	}
	r.Reply("data", Copy(made, detail), body)
}

// Copy returns the fields of an answer with a copy that the origin gave out at a time.
func Copy(made time.Time, detail string) string {
	return "etag=" + made.UTC().Format("150405000000000") + ",made=" + millis(made) + ",detail=" + detail
}
