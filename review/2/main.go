// Command 2 is the second case of the review: while other clients hold incomplete requests, the router stops reading a
// client's connection, and the requests that the client sends on it are never answered.
package main

import (
	"fmt"
	"net"
	"time"

	"threadrun/internal/testserver"
	"threadrun/review/bed"
)

const (
	usualClients  = 5
	readTime      = 1800 * time.Millisecond // how long a cache takes for the first request of each usual client
	pause         = 100 * time.Millisecond  // between the two pieces of a write
	fillTime      = 300 * time.Millisecond  // for the router to read what the bad clients send
	clientTimeout = 3000 * time.Millisecond // of each request
	lateBy        = 500 * time.Millisecond  // a later final answer counts as lost

	// Of the bad clients, some declare a body of bigBody bytes and leave out the last one. The others stop in the middle
	// of a usual write.
	bigClients, bigBody     = 6, 1_000_000
	halfClients, halfOfBody = 60, 20_000
	writeBody               = 48_000
)

// firstObject is requested by the first request of each usual client.
const firstObject = "7f3a9c21e0b4d655"

// scene is the deployment.
type scene struct {
	*bed.Bed
	router  *bed.Router
	traceID uint64
}

func main() { bed.Main(runCase) }

func runCase(b *bed.Bed) error {
	s := &scene{Bed: b}
	servers, err := bed.StartServers([]string{"cache-1", "cache-2"}, s.answer)
	if err != nil {
		return err
	}
	if s.router, err = s.StartRouterFor(servers, "n0"); err != nil {
		return err
	}
	var clients []*testserver.Client
	var sent []*sentRequest
	for range usualClients {
		c, err := testserver.Connect(s.router.Address)
		if err != nil {
			return err
		}
		clients = append(clients, c)
		sent = append(sent, s.send(c, "read", "calc-page", firstObject, nil))
	}
	time.Sleep(pause)
	if s.Trouble {
		for i := range bigClients + halfClients {
			if err := s.startBadClient(i); err != nil {
				return err
			}
		}
	}
	time.Sleep(fillTime)
	for _, c := range clients {
		sent = append(sent, s.send(c, "write in two pieces", "quote-save", "1c04be77a9035fd2", make([]byte, writeBody)))
	}
	for _, c := range clients {
		sent = append(sent, s.send(c, "read behind it", "calc-page", "e69d0813c5524b7a", nil))
	}
	for _, r := range sent {
		s.check(r)
	}
	return nil
}

// answer answers at a cache.
func (s *scene) answer(cache *testserver.Cache, g *testserver.CacheRequest) *testserver.Reply {
	s.Logf("%s received %s of %s with %d bytes, trace id %s", cache.Name, g.Fields["queue"], g.Fields["path"],
		len(g.Body), g.ID)
	if g.Fields["path"] == firstObject {
		time.Sleep(readTime)
	}
	return &testserver.Reply{Status: "data", Fields: fmt.Sprintf("etag=a,made=%d,detail=filled", time.Now().UnixMilli()),
		Body: []byte("done")}
}

// startBadClient connects a client that sends a part of a request and then nothing.
func (s *scene) startBadClient(i int) error {
	conn, err := net.Dial("tcp", s.router.Address)
	if err != nil {
		return err
	}
	body := make([]byte, writeBody)
	size := halfOfBody
	if i < bigClients {
		body = make([]byte, bigBody)
	}
	s.traceID++
	request := testserver.Request(1, "quote-save", testserver.RequestParams(s.traceID, firstObject, clientTimeout), body)
	if i < bigClients {
		size = len(request) - 1
	}
	s.Logf("bad client %d sends %d of %d bytes of a request", i+1, size, len(request))
	go func() {
		_, _ = conn.Write(request[:size])
		n, err := conn.Read(make([]byte, 1)) // until the router answers or closes
		s.Logf("bad client %d got %d bytes of an answer, %v", i+1, n, err)
		_ = conn.Close()
	}()
	return nil
}

// sentRequest is a request of a usual client.
type sentRequest struct {
	what    string
	traceID uint64
	client  *testserver.Client
	sentAt  time.Time // when the last byte was written
	answers <-chan *testserver.Answer
}

// send sends a request; one with a body is sent in two pieces.
func (s *scene) send(c *testserver.Client, what, class, object string, body []byte) *sentRequest {
	s.traceID++
	params := testserver.RequestParams(s.traceID, object, clientTimeout)
	wait := time.Duration(0)
	if body != nil {
		params["nonce"] = fmt.Sprintf("quote-%d", s.traceID)
		wait = pause
	}
	_, answers := c.SendInPieces(class, params, body, wait)
	r := &sentRequest{what: what, traceID: s.traceID, client: c, sentAt: time.Now(), answers: answers}
	s.Logf("sent whole: %s, trace id %016x", what, r.traceID)
	return r
}

// check checks the rule: each request that was written whole to an open connection gets one final answer in time.
func (s *scene) check(r *sentRequest) {
	limit := time.NewTimer(time.Until(r.sentAt.Add(clientTimeout + lateBy)))
	defer limit.Stop()
	select {
	case a := <-r.answers:
		s.Logf("%s, trace id %016x: %s", r.what, r.traceID, bed.Summary(a))
	case <-r.client.Closed():
		select {
		case a := <-r.answers:
			s.Logf("%s, trace id %016x: %s", r.what, r.traceID, bed.Summary(a))
		default:
			s.Broken("%s, trace id %016x: the router closed the connection without an answer, by %d ms after the last byte "+
				"was written", r.what, r.traceID, time.Since(r.sentAt).Milliseconds())
		}
	case <-limit.C:
		s.Broken("%s, trace id %016x: no answer %v after its time", r.what, r.traceID, lateBy)
	}
}
