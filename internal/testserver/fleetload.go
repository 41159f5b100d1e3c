package testserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	staleAfter       = 1500 * time.Millisecond // time from a purge's announcement until older copies must not be served
	requestTimeout   = 2 * time.Second
	answerTimeout    = 10 * time.Second       // time after which a request counts as unanswered
	deliveryTime     = 100 * time.Millisecond // time to deliver an answer that arrived before its connection ended
	secondAnswerTime = 50 * time.Millisecond  // time to wait for second answers at the end
	writeInterval    = 20                     // one in this many requests is non-idempotent
)

// load sends requests to one router at regular intervals until end, and waits for the last answers. It reconnects
// after the router was killed.
func (f *fleet) load(i int, end time.Time) {
	random := rand.New(rand.NewPCG(f.Seed, uint64(i)+100))
	var wait sync.WaitGroup
	client := &fleetClient{fleet: f, router: i}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(f.RequestInterval)
		if !client.connect() {
			continue
		}
		client.send(random.IntN(f.Objects), n%writeInterval == 0, &wait)
	}
	wait.Wait()
	if client.connection != nil {
		time.Sleep(secondAnswerTime)
		f.countUnexpected(client.connection)
		client.connection.Close()
	}
}

// fleetClient is the client of one router.
type fleetClient struct {
	*fleet
	router      int
	connection  *Client // nil: none
	incarnation int     // incarnation of the router to which it is connected
}

// connect connects to the router unless a connection is open, and reports whether a connection is open afterward.
func (c *fleetClient) connect() bool {
	c.mu.Lock()
	address := c.processes[c.router].Address
	incarnation := c.incarnations[c.router]
	c.mu.Unlock()
	if c.connection != nil {
		select {
		case <-c.connection.Closed():
			c.countUnexpected(c.connection)
			c.connection = nil
		default:
		}
	}
	if c.connection != nil {
		return true
	}
	connection, err := Connect(address)
	if err != nil {
		return false
	}
	c.connection = connection
	c.incarnation = incarnation
	return true
}

// send sends a request for an object, which is non-idempotent if write is set. A goroutine, which is added to wait,
// counts the answer.
func (c *fleetClient) send(object int, write bool, wait *sync.WaitGroup) {
	method := "page"
	var body []byte
	if write {
		method = "order"
		body = []byte("one")
	}
	traceID := c.lastID.Add(1)
	c.mu.Lock()
	purgedAt, purged := c.purges[object]
	c.stats.Requests++
	if write {
		c.stats.Writes++
	}
	c.mu.Unlock()
	checkStale := purged && !write && time.Since(purgedAt) >= staleAfter
	_, answers := c.connection.Send(method, RequestParams(traceID, objectName(object), requestTimeout), body)
	sender := *c // keeps the connection and the incarnation of this request, because c may reconnect before the answer
	wait.Add(1)
	go func() {
		defer wait.Done()
		sender.countAnswer(sender.awaitAnswer(answers), checkStale, purgedAt)
	}()
}

// awaitAnswer waits for the answer to a request. It returns nil if none arrives before answerTimeout or before the
// connection ends.
func (c *fleetClient) awaitAnswer(answers <-chan *Answer) *Answer {
	ended := c.connection.Closed()
	for timeout := time.After(answerTimeout); ; {
		select {
		case answer := <-answers:
			return answer
		case <-ended: // an answer that arrived before the end may not have been delivered yet
			ended = nil
			timeout = time.After(deliveryTime)
		case <-timeout:
			return nil
		}
	}
}

// countAnswer counts an answer, which is nil if none arrived. If checkStale is set, a copy from before the purge is a
// violation.
func (c *fleetClient) countAnswer(answer *Answer, checkStale bool, purgedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer == nil && c.incarnations[c.router] != c.incarnation:
		c.stats.Interrupted++
	case answer == nil:
		c.stats.Unanswered++
		c.violations = append(c.violations, fmt.Sprintf("router %d did not answer a request", c.router))
	case answer.Error != "":
		c.stats.Rejected++
	case checkStale:
		c.stats.CheckedForStaleness++
		if CreatedBefore(string(answer.Body), purgedAt) {
			c.stats.Stale++
			violation := fmt.Sprintf("router %d served the copy %q after a purge at %s",
				c.router, answer.Body, purgedAt.Format(creationTimeFormat))
			c.violations = append(c.violations, violation)
		}
	}
}

// countUnexpected counts answers that no request was waiting for.
func (f *fleet) countUnexpected(connection *Client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Duplicates += len(connection.Unexpected)
}

// countDuplicateWrites counts the non-idempotent requests that caches received more than once.
func (f *fleet) countDuplicateWrites() {
	attempts := map[string]int{}
	for _, name := range f.zone.CacheNames {
		for _, g := range f.zone.Caches[name].Requests() {
			if len(g.Body) > 0 {
				attempts[g.ID]++
			}
		}
	}
	for id, n := range attempts {
		if n > 1 {
			f.stats.Duplicates++
			f.violations = append(f.violations, fmt.Sprintf("caches received the non-idempotent request %s %d times", id, n))
		}
	}
}
