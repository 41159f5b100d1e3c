package testserver

import (
	"net"
	"strings"
	"sync"
	"time"
)

// CacheRequest is a whole request as a cache got it.
type CacheRequest struct {
	ID     string
	Fields map[string]string // by their names in the cache protocol
	Body   []byte
	Conn   net.Conn
}

// Reply is a cache's answer, in the words of the cache protocol. Empty Fields: none.
type Reply struct {
	Status, Fields string
	Body           []byte
}

// Cache is a cache, a parent or the origin. If Answer is set, it makes the answers; otherwise the cache keeps copies
// and fills misses from the source that a request names, which it finds by Peer. The exported fields are set before
// anyone connects.
type Cache struct {
	Name        string
	Answer      func(*CacheRequest) *Reply // a nil reply: no answer is sent
	Peer        func(name string) *Cache   // nil: there is none of that name
	IsOrigin    bool
	Probes      *WorkLog                 // of health checks; nil: not recorded
	Fills       *WorkLog                 // of copies fetched from a source; nil: not recorded
	FreshTime   map[string]time.Duration // by class; nil: copies stay fresh
	ServiceTime time.Duration            // of an answer
	Delay       func(*CacheRequest)      // called before an answer is looked for
	// ObserveReply is called with each default answer, its cache status and its age, if FreshTime is set.
	ObserveReply func(g *CacheRequest, status string, age time.Duration)

	mu            sync.Mutex
	listener      net.Listener
	requests      []*CacheRequest
	cancellations map[string]int // by request id
	silent        bool
	connections   map[net.Conn]bool
	copies        map[string]storedCopy // by object and part
}

// storedCopy is a copy of one part of an object.
type storedCopy struct {
	createdAt time.Time // by the origin
	body      []byte
	tag       string // of its version
}

// StartCache starts a cache at an address; with port 0, at any free one. setUp, if not nil, sets its fields before
// anyone can connect.
func StartCache(name, address string, setUp func(*Cache)) (*Cache, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Cache{
		Name:          name,
		listener:      l,
		cancellations: map[string]int{},
		connections:   map[net.Conn]bool{},
		copies:        map[string]storedCopy{},
	}
	if setUp != nil {
		setUp(c)
	}
	go c.acceptConnections()
	return c, nil
}

// acceptConnections runs until the listener is closed.
func (c *Cache) acceptConnections() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.connections[conn] = true
		c.mu.Unlock()
		go c.serve(conn)
	}
}

// Address is where the cache listens.
func (c *Cache) Address() string { return c.listener.Addr().String() }

// Close ends the cache. With reset its connections are reset, as those of a process that dies are.
func (c *Cache) Close(reset bool) {
	_ = c.listener.Close()
	c.CloseConnections(reset)
}

// CloseConnections ends all connections; see Close for reset.
func (c *Cache) CloseConnections(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.connections {
		if t, ok := conn.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
		delete(c.connections, conn)
	}
}

// Requests gives the requests so far, in the order in which they came.
func (c *Cache) Requests() []*CacheRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*CacheRequest(nil), c.requests...)
}

// Cancellations counts the cancellations of requests with an id.
func (c *Cache) Cancellations(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancellations[id]
}

// Clear removes all copies, as a restart does.
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.copies)
}

// Drop removes the copies of an object that are older than a purge.
func (c *Cache) Drop(object string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, held := range c.copies {
		if strings.HasPrefix(key, object+"/") && held.createdAt.Before(at) {
			delete(c.copies, key)
		}
	}
}

// Holds reports whether the cache has a copy of an object's first part.
func (c *Cache) Holds(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.copies[path+"/0"]
	return ok
}

// SetSilent makes the cache go on reading and answer nothing, PINGs included, or answer again.
func (c *Cache) SetSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
}
