package testserver

import (
	"net"
	"strings"
	"sync"
	"time"
)

// CacheRequest is a GET of the cache protocol as received by a cache.
type CacheRequest struct {
	ID     string
	Fields map[string]string // by their names in the cache protocol
	Body   []byte
	Conn   net.Conn
}

// Reply is a cache's answer in the cache protocol: the status word, the encoded list of fields (empty: none) and the
// body.
type Reply struct {
	Status, Fields string
	Body           []byte
}

// Cache is a cache, a parent or the origin. If Answer is set, it provides the replies. Otherwise the cache stores
// copies, and fills misses from the source that a request names, which it looks up with FindSource. The exported
// fields must be set before clients connect.
type Cache struct {
	Name              string
	Answer            func(*CacheRequest) *Reply // if it returns nil, no reply is sent
	FindSource        func(name string) *Cache   // returns nil for unknown names
	IsOrigin          bool
	HealthChecks      *WorkLog                 // log of health checks; nil: none
	Fills             *WorkLog                 // log of fetches from a source, including those of writes; nil: none
	FreshnessLifetime map[string]time.Duration // freshness lifetime by class; nil: copies stay fresh
	ServiceTime       time.Duration            // time before each reply that does not come from Answer
	Delay             func(*CacheRequest)      // called before each reply not from Answer; may block
	// Observe, if set, is called with each request before it is answered. It returns a function that is called with
	// the reply just before the reply is written.
	Observe func(*CacheRequest) func(*Reply)
	// ObserveReply, if set along with FreshnessLifetime, is called for each reply that does not come from Answer, with
	// the cache status and the age of the copy.
	ObserveReply func(g *CacheRequest, status string, age time.Duration)

	mu            sync.Mutex // guards the fields below, except listener
	listener      net.Listener
	requests      []*CacheRequest
	cancellations map[string]int // number of cancellations by request id
	silent        bool           // see SetSilent
	connections   map[net.Conn]bool
	copies        map[string]storedCopy // by object and part, as in "object/0"
}

// storedCopy is a copy of one part of an object.
type storedCopy struct {
	createdAt time.Time // when the origin created it
	body      []byte
	tag       string // version tag
}

// StartCache starts a cache at an address; port 0 selects a free port. setUp, if not nil, is called to set the
// cache's fields before clients can connect.
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

// acceptConnections accepts connections until the listener is closed.
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

// Address returns the address of the listener.
func (c *Cache) Address() string { return c.listener.Addr().String() }

// Close closes the listener and all connections. If reset is set, the connections are reset, as if the process had
// been killed.
func (c *Cache) Close(reset bool) {
	_ = c.listener.Close()
	c.CloseConnections(reset)
}

// CloseConnections closes all connections. If reset is set, they are reset.
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

// Requests returns the requests received so far, in order of arrival.
func (c *Cache) Requests() []*CacheRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*CacheRequest(nil), c.requests...)
}

// Cancellations returns how many cancellations (DROP) of a request id the cache has received.
func (c *Cache) Cancellations(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancellations[id]
}

// Clear removes all copies, like a restart.
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.copies)
}

// Purge removes the copies of an object that the origin created before the given time.
func (c *Cache) Purge(object string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, stored := range c.copies {
		if strings.HasPrefix(key, object+"/") && stored.createdAt.Before(at) {
			delete(c.copies, key)
		}
	}
}

// Holds reports whether the cache has a copy of an object's first part.
func (c *Cache) Holds(object string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.copies[object+"/0"]
	return ok
}

// SetSilent sets whether the cache reads requests and PINGs without answering them.
func (c *Cache) SetSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
}
