package testserver

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cacheConn is one connection to a cache.
type cacheConn struct {
	cache   *Cache
	conn    net.Conn
	writeMu sync.Mutex // held while a reply is written
}

// serve handles commands until the connection ends or a command is invalid.
func (c *Cache) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	connection := &cacheConn{cache: c, conn: conn}
	reader := bufio.NewReader(conn)
	for {
		words, err := ReadArray(reader)
		if err != nil {
			return
		}
		if !connection.handle(words) {
			return
		}
	}
}

// handle handles one command, and reports whether it was valid: DROP cancels a request, PING checks that the cache
// responds, and GET requests a part of an object.
func (s *cacheConn) handle(words []string) bool {
	c := s.cache
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case words[0] == "DROP" && len(words) == 2:
		c.cancellations[words[1]]++
	case words[0] == "PING" && len(words) == 2:
		s.handlePing(words[1])
	case words[0] == "GET" && len(words) == 4:
		request := &CacheRequest{ID: words[1], Fields: Fields(words[2]), Body: []byte(words[3]), Conn: s.conn}
		c.requests = append(c.requests, request)
		go s.answer(request, c.silent)
	default:
		return false
	}
	return true
}

// handlePing answers a PING. It records only the PINGs of health checks, whose tags begin with "probe", because the
// router also sends PINGs to check silent connections. The caller must hold the cache's mutex.
func (s *cacheConn) handlePing(tag string) {
	if strings.HasPrefix(tag, "probe") {
		s.cache.HealthChecks.Record(s.cache.Name, s.conn)
	}
	if !s.cache.silent {
		s.write(Array(tag, "well", "-", ""))
	}
}

// answer answers a request. silent tells whether the cache was silent when the request arrived.
func (s *cacheConn) answer(request *CacheRequest, silent bool) {
	onReply := func(*Reply) {}
	if s.cache.Observe != nil {
		onReply = s.cache.Observe(request)
	}
	reply := s.cache.reply(request)
	if reply == nil || silent {
		return
	}
	onReply(reply)
	if reply.Fields == "" {
		reply.Fields = "-"
	}
	s.write(Array(request.ID, reply.Status, reply.Fields, string(reply.Body)))
}

func (s *cacheConn) write(text string) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, _ = io.WriteString(s.conn, text) // the reading goroutine detects the end of the connection
}

// reply returns the reply to a request. It comes from Answer if that is set, otherwise from defaultReply.
func (c *Cache) reply(request *CacheRequest) *Reply {
	if c.Answer != nil {
		return c.Answer(request)
	}
	if c.Delay != nil {
		c.Delay(request)
	}
	reply := c.defaultReply(request)
	if c.FreshnessLifetime != nil && c.ObserveReply != nil {
		fields := Fields(reply.Fields)
		createdMillis, _ := strconv.ParseInt(fields["made"], 10, 64)
		c.ObserveReply(request, fields["detail"], time.Since(time.UnixMilli(createdMillis)))
	}
	return reply
}
