// Package testserver has what a router talks to, on loopback, for tests, experiments and the example: caches, parents and
// the origin, discovery, clients, and relays between routers. They speak the platform's protocols.
package testserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CacheRequest is a request as a cache has it, whole.
type CacheRequest struct {
	ID     string
	Fields map[string]string
	Body   []byte
	Conn   net.Conn
}

// Reply is a cache's answer.
type Reply struct {
	Status, Fields string
	Body           []byte
}

// Cache is a toy cache, parent or origin. With Answer set, that makes the answers; without, it keeps objects and
// fills misses from the source that a request names, found by Others.
type Cache struct {
	Name         string
	Answer       func(*CacheRequest) *Reply // nil: says nothing
	Peer         func(name string) *Cache
	IsOrigin     bool
	Probes       *WorkLog                 // notes PINGs
	Fills        *WorkLog                 // notes what was fetched anew
	FreshTime    map[string]time.Duration // by use case: copies age, and are renewed behind visits that allow it
	ServiceTime  time.Duration            // for an answer
	Delay        func(*CacheRequest)      // called before an answer is looked for
	ObserveReply func(g *CacheRequest, note string, age time.Duration)

	mu            sync.Mutex
	listener      net.Listener
	requests      []*CacheRequest
	cancellations map[string]int
	silent        bool
	connections   map[net.Conn]bool
	copies        map[string]storedCopy
}

type storedCopy struct {
	createdAt time.Time
	body      []byte
	tag       string
}

// StartCache starts a cache at an address; port 0 takes any. Shape, if not nil, sets it up before anyone comes.
func StartCache(name, address string, shape func(*Cache)) (*Cache, error) {
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
	if shape != nil {
		shape(c)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.connections[conn] = true
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return c, nil
}

// Address is where the cache listens.
func (c *Cache) Address() string { return c.listener.Addr().String() }

// Close ends the cache; reset has its connections reset, as those of a process that dies are.
func (c *Cache) Close(reset bool) {
	_ = c.listener.Close()
	c.CloseConnections(reset)
}

// CloseConnections ends all connections.
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

// Requests is what has come so far.
func (c *Cache) Requests() []*CacheRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*CacheRequest(nil), c.requests...)
}

// Cancellations counts the requests given up under an id.
func (c *Cache) Cancellations(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancellations[id]
}

// Clear has the cache forget all that it keeps, as one that starts anew has.
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.copies)
}

// Drop has the cache forget copies of an object that are older than a purge.
func (c *Cache) Drop(object string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, x := range c.copies {
		if strings.HasPrefix(key, object+"/") && x.createdAt.Before(at) {
			delete(c.copies, key)
		}
	}
}

// Holds tells whether the cache keeps a copy of an object.
func (c *Cache) Holds(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.copies[path+"/0"]
	return ok
}

// SetSilent has the cache read on and say nothing more, PINGs included.
func (c *Cache) SetSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
}

func (c *Cache) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	defer conn.Close()
	var w sync.Mutex
	for {
		words, err := ReadArray(r)
		if err != nil {
			return
		}
		c.mu.Lock()
		silent := c.silent
		switch {
		case words[0] == "DROP" && len(words) == 2:
			c.cancellations[words[1]]++
		case words[0] == "PING" && len(words) == 2:
			if strings.HasPrefix(words[1], "probe") { // the router also asks on connections that have fallen silent
				c.Probes.Record(c.Name, conn)
			}
			if !silent {
				w.Lock()
				_, _ = io.WriteString(conn, Array(words[1], "well", "-", ""))
				w.Unlock()
			}
		case words[0] == "GET" && len(words) == 4:
			g := &CacheRequest{ID: words[1], Fields: Fields(words[2]), Body: []byte(words[3]), Conn: conn}
			c.requests = append(c.requests, g)
			go func() {
				var reply *Reply
				if c.Answer != nil {
					reply = c.Answer(g)
				} else {
					if c.Delay != nil {
						c.Delay(g)
					}
					reply = c.defaultReply(g)
					if c.FreshTime != nil && c.ObserveReply != nil {
						f := Fields(reply.Fields)
						made, _ := strconv.ParseInt(f["made"], 10, 64)
						c.ObserveReply(g, f["detail"], time.Since(time.UnixMilli(made)))
					}
				}
				if reply == nil || silent {
					return
				}
				if reply.Fields == "" {
					reply.Fields = "-"
				}
				w.Lock()
				defer w.Unlock()
				_, _ = io.WriteString(conn, Array(g.ID, reply.Status, reply.Fields, string(reply.Body)))
			}()
		default:
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// defaultReply answers from what is kept, or from the source.
func (c *Cache) defaultReply(g *CacheRequest) *Reply {
	key := g.Fields["path"] + "/" + g.Fields["blk"]
	ms, _ := strconv.Atoi(g.Fields["maxage"])
	oldest, fresh := time.Duration(ms)*time.Millisecond, c.FreshTime[g.Fields["queue"]]
	if oldest == 0 {
		oldest = fresh
	}
	time.Sleep(c.ServiceTime)
	c.mu.Lock()
	have, ok := c.copies[key]
	c.mu.Unlock()
	note, age := "hit", time.Since(have.createdAt)
	switch {
	case len(g.Body) > 0 && c.IsOrigin:
		return &Reply{Status: "data", Fields: "detail=filled", Body: []byte("done")}
	case ok && (oldest == 0 || age < oldest) && len(g.Body) == 0:
		if fresh > 0 && age > fresh {
			note = "stale"
		}
		if fresh > 0 && age > fresh*4/5 && strings.Contains(g.Fields["flags"], "swr") {
			behind := *g
			go c.fill(&behind, key)
		}
	case c.IsOrigin:
		now := time.Now()
		have = storedCopy{now, []byte(fmt.Sprintf("%s as of %s", key, now.Format("15:04:05.000"))), tagOf(key, now)}
	default:
		r := c.fill(g, key)
		if r.Status != "data" || len(g.Body) > 0 {
			return r
		}
		f := Fields(r.Fields)
		ms, _ := strconv.ParseInt(f["made"], 10, 64)
		have, note = storedCopy{time.UnixMilli(ms), r.Body, f["etag"]}, "filled"
	}
	fields := fmt.Sprintf("etag=%s,made=%d,detail=%s", have.tag, have.createdAt.UnixMilli(), note)
	if g.Fields["have"] == have.tag {
		return &Reply{Status: "unchanged", Fields: fields}
	}
	return &Reply{Status: "data", Fields: fields, Body: have.body}
}

// fill fetches an object from the source that a request names, and keeps it if that is asked for.
func (c *Cache) fill(g *CacheRequest, key string) *Reply {
	src := c.Peer(g.Fields["src"])
	if src == nil {
		return &Reply{Status: "absent"}
	}
	c.Fills.Record(key, g.Conn)
	up := *g
	up.Fields = map[string]string{"path": g.Fields["path"], "blk": g.Fields["blk"], "maxage": g.Fields["maxage"],
		"queue": g.Fields["queue"], "src": "origin"}
	if strings.Contains(g.Fields["flags"], "peek") { // what the source holds, and no more
		up.Fields["src"] = ""
	}
	r := src.defaultReply(&up)
	if r.Status == "data" && len(g.Body) == 0 && (g.Fields["keep"] != "" || src.IsOrigin) {
		f := Fields(r.Fields)
		ms, _ := strconv.ParseInt(f["made"], 10, 64)
		c.mu.Lock()
		c.copies[key] = storedCopy{time.UnixMilli(ms), r.Body, f["etag"]}
		c.mu.Unlock()
	}
	return r
}

func tagOf(key string, at time.Time) string {
	return fmt.Sprintf("%016x", at.UnixNano()^int64(len(key)))
}

// Fields reads a list of fields.
func Fields(s string) map[string]string {
	out := map[string]string{}
	for _, pair := range strings.Split(s, ",") {
		if k, v, ok := strings.Cut(pair, "="); ok {
			out[k] = v
		}
	}
	return out
}

// Array writes an array of bulk strings.
func Array(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// ReadArray reads an array of bulk strings.
func ReadArray(r *bufio.Reader) ([]string, error) {
	n, err := count(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := count(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

func count(r *bufio.Reader, mark byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != mark {
		return 0, fmt.Errorf("%q where %q was to come", line, mark)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
