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
	writing sync.Mutex // held while an answer is written
}

// serve reads commands until the connection ends or one is not of the protocol.
func (c *Cache) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	served := &cacheConn{cache: c, conn: conn}
	reader := bufio.NewReader(conn)
	for {
		words, err := ReadArray(reader)
		if err != nil {
			return
		}
		if !served.handle(words) {
			return
		}
	}
}

// handle carries out one command; false: it is not of the protocol.
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

// handlePing answers a PING. Only those of health checks are recorded: the router also sends some on connections that
// have been silent.
func (s *cacheConn) handlePing(tag string) {
	if strings.HasPrefix(tag, "probe") {
		s.cache.Probes.Record(s.cache.Name, s.conn)
	}
	if !s.cache.silent {
		s.write(Array(tag, "well", "-", ""))
	}
}

// answer answers a request; silent is what the cache was when the request came.
func (s *cacheConn) answer(request *CacheRequest, silent bool) {
	reply := s.cache.reply(request)
	if reply == nil || silent {
		return
	}
	if reply.Fields == "" {
		reply.Fields = "-"
	}
	s.write(Array(request.ID, reply.Status, reply.Fields, string(reply.Body)))
}

func (s *cacheConn) write(text string) {
	s.writing.Lock()
	defer s.writing.Unlock()
	_, _ = io.WriteString(s.conn, text) // the reader finds out if the connection has ended
}

// reply makes the answer to a request, by Answer if that is set.
func (c *Cache) reply(request *CacheRequest) *Reply {
	if c.Answer != nil {
		return c.Answer(request)
	}
	if c.Delay != nil {
		c.Delay(request)
	}
	reply := c.defaultReply(request)
	if c.FreshTime != nil && c.ObserveReply != nil {
		fields := Fields(reply.Fields)
		createdMillis, _ := strconv.ParseInt(fields["made"], 10, 64)
		c.ObserveReply(request, fields["detail"], time.Since(time.UnixMilli(createdMillis)))
	}
	return reply
}
