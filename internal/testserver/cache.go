// Package standin holds toy parties for a router to talk to: caches, parents and the origin, the bulletin, and a
// client. They speak the platform's protocols as its page tells, on loopback, for the tests and the example.
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

// Get is a request as a cache has it, whole.
type Get struct {
	ID     string
	Fields map[string]string
	Body   []byte
	Conn   net.Conn
}

// Reply is a cache's answer.
type Reply struct {
	Word, Fields string
	Body         []byte
}

// Cache is a toy cache, parent or origin. With Answer set, that makes the answers; without, it keeps objects and
// fills misses from the source that a request names, found by Others.
type Cache struct {
	Name   string
	Answer func(*Get) *Reply // nil: says nothing
	Others func(name string) *Cache
	Origin bool
	Pings  *Works                   // notes PINGs
	Fills  *Works                   // notes what was fetched anew
	Fresh  map[string]time.Duration // by use case: copies age, and are renewed behind visits that allow it
	Takes  time.Duration            // for an answer
	Stall  func(*Get)               // called before an answer is looked for
	Notes  func(g *Get, note string, age time.Duration)

	mu      sync.Mutex
	door    net.Listener
	gets    []*Get
	dropped map[string]int
	silent  bool
	conns   map[net.Conn]bool
	kept    map[string]copied
}

type copied struct {
	made time.Time
	body []byte
	tag  string
}

// Open starts a cache at an address; port 0 takes any. Shape, if not nil, sets it up before anyone comes.
func Open(name, address string, shape func(*Cache)) (*Cache, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, door: l, dropped: map[string]int{}, conns: map[net.Conn]bool{}, kept: map[string]copied{}}
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
			c.conns[conn] = true
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return c, nil
}

// Address is where the cache listens.
func (c *Cache) Address() string { return c.door.Addr().String() }

// Close ends the cache; reset has its connections reset, as those of a process that dies are.
func (c *Cache) Close(reset bool) {
	_ = c.door.Close()
	c.Cut(reset)
}

// Cut ends all connections.
func (c *Cache) Cut(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if t, ok := conn.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
		delete(c.conns, conn)
	}
}

// Gets is what has come so far.
func (c *Cache) Gets() []*Get {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Get(nil), c.gets...)
}

// Dropped counts the requests given up under an id.
func (c *Cache) Dropped(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped[id]
}

// Empty has the cache forget all that it keeps, as one that starts anew has.
func (c *Cache) Empty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.kept)
}

// Drop has the cache forget copies of an object that are older than a purge.
func (c *Cache) Drop(object string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, x := range c.kept {
		if strings.HasPrefix(key, object+"/") && x.made.Before(at) {
			delete(c.kept, key)
		}
	}
}

// Holds tells whether the cache keeps a copy of an object.
func (c *Cache) Holds(path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.kept[path+"/0"]
	return ok
}

// Silence has the cache read on and say nothing more, PINGs included.
func (c *Cache) Silence(on bool) {
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
			c.dropped[words[1]]++
		case words[0] == "PING" && len(words) == 2:
			if strings.HasPrefix(words[1], "probe") { // the router also asks on connections that have fallen silent
				c.Pings.Note(c.Name, conn)
			}
			if !silent {
				w.Lock()
				_, _ = io.WriteString(conn, Array(words[1], "well", "-", ""))
				w.Unlock()
			}
		case words[0] == "GET" && len(words) == 4:
			g := &Get{ID: words[1], Fields: Fields(words[2]), Body: []byte(words[3]), Conn: conn}
			c.gets = append(c.gets, g)
			go func() {
				var reply *Reply
				if c.Answer != nil {
					reply = c.Answer(g)
				} else {
					if c.Stall != nil {
						c.Stall(g)
					}
					reply = c.toy(g)
					if c.Fresh != nil && c.Notes != nil {
						f := Fields(reply.Fields)
						made, _ := strconv.ParseInt(f["made"], 10, 64)
						c.Notes(g, f["detail"], time.Since(time.UnixMilli(made)))
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
				_, _ = io.WriteString(conn, Array(g.ID, reply.Word, reply.Fields, string(reply.Body)))
			}()
		default:
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// toy answers from what is kept, or from the source.
func (c *Cache) toy(g *Get) *Reply {
	key := g.Fields["path"] + "/" + g.Fields["blk"]
	ms, _ := strconv.Atoi(g.Fields["maxage"])
	oldest, fresh := time.Duration(ms)*time.Millisecond, c.Fresh[g.Fields["queue"]]
	if oldest == 0 {
		oldest = fresh
	}
	time.Sleep(c.Takes)
	c.mu.Lock()
	have, ok := c.kept[key]
	c.mu.Unlock()
	note, age := "hit", time.Since(have.made)
	switch {
	case len(g.Body) > 0 && c.Origin:
		return &Reply{Word: "data", Fields: "detail=filled", Body: []byte("done")}
	case ok && (oldest == 0 || age < oldest) && len(g.Body) == 0:
		if fresh > 0 && age > fresh {
			note = "stale"
		}
		if fresh > 0 && age > fresh*4/5 && strings.Contains(g.Fields["flags"], "swr") {
			behind := *g
			go c.fill(&behind, key)
		}
	case c.Origin:
		now := time.Now()
		have = copied{now, []byte(fmt.Sprintf("%s as of %s", key, now.Format("15:04:05.000"))), tagOf(key, now)}
	default:
		r := c.fill(g, key)
		if r.Word != "data" || len(g.Body) > 0 {
			return r
		}
		f := Fields(r.Fields)
		ms, _ := strconv.ParseInt(f["made"], 10, 64)
		have, note = copied{time.UnixMilli(ms), r.Body, f["etag"]}, "filled"
	}
	fields := fmt.Sprintf("etag=%s,made=%d,detail=%s", have.tag, have.made.UnixMilli(), note)
	if g.Fields["have"] == have.tag {
		return &Reply{Word: "unchanged", Fields: fields}
	}
	return &Reply{Word: "data", Fields: fields, Body: have.body}
}

// fill fetches an object from the source that a request names, and keeps it if that is asked for.
func (c *Cache) fill(g *Get, key string) *Reply {
	src := c.Others(g.Fields["src"])
	if src == nil {
		return &Reply{Word: "absent"}
	}
	c.Fills.Note(key, g.Conn)
	up := *g
	up.Fields = map[string]string{"path": g.Fields["path"], "blk": g.Fields["blk"], "maxage": g.Fields["maxage"],
		"queue": g.Fields["queue"], "src": "origin"}
	if strings.Contains(g.Fields["flags"], "peek") { // what the source holds, and no more
		up.Fields["src"] = ""
	}
	r := src.toy(&up)
	if r.Word == "data" && len(g.Body) == 0 && (g.Fields["keep"] != "" || src.Origin) {
		f := Fields(r.Fields)
		ms, _ := strconv.ParseInt(f["made"], 10, 64)
		c.mu.Lock()
		c.kept[key] = copied{time.UnixMilli(ms), r.Body, f["etag"]}
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
