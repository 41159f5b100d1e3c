package main

import (
	"fmt"
	"time"

	"threadrun/internal/testserver"
)

const (
	requestTimeout  = 2 * time.Second
	requestInterval = time.Second
	connectInterval = 200 * time.Millisecond // time between attempts to connect
	timeFormat      = "15:04:05.000"
)

// objects are the names of the objects that the client requests in turn. The router distributes them over both
// caches.
var objects = []string{"7f3a9c21e0b4d655", "1c04be77a9035fd2", "e69d0813c5524b7a", "58b1f2c6937de04f"}

// client sends requests to the router and prints how they were answered.
type client struct {
	connection  *testserver.Client
	replies     *replyLog
	lastTraceID uint64
}

// connectClient returns a client that is connected to the router. It waits until the router accepts connections.
func connectClient(replies *replyLog) *client {
	return &client{
		connection:  connect(),
		replies:     replies,
		lastTraceID: uint64(time.Now().UnixNano()), // differs from the ids of earlier runs, which the router may remember
	}
}

// connect tries to connect to the router until it succeeds.
func connect() *testserver.Client {
	for {
		connection, err := testserver.Connect(routerAddress)
		if err == nil {
			return connection
		}
		time.Sleep(connectInterval)
	}
}

// requestEverySecond requests the objects in turn. It does not return.
func (c *client) requestEverySecond() {
	for i := 0; ; i = (i + 1) % len(objects) {
		c.request(fmt.Sprintf("object %d", i+1), objects[i])
		time.Sleep(requestInterval)
	}
}

// request sends a request, waits for its answer and prints it. It reconnects if the router closes the connection.
func (c *client) request(label, object string) {
	c.lastTraceID++
	params := testserver.RequestParams(c.lastTraceID, object, requestTimeout)
	_, answers := c.connection.Send(className, params, nil)
	select {
	case answer := <-answers:
		fmt.Printf("%s %-15s %s\n", time.Now().Format(timeFormat), label, c.describe(params["trace"], answer))
	case <-c.connection.Closed():
		fmt.Println("the router closed the connection; waiting for it at", routerAddress)
		c.connection = connect()
	}
}

// describe returns a line of text about an answer: the error, or the cache that sent it, the body and the version.
func (c *client) describe(traceID string, answer *testserver.Answer) string {
	if answer.Error != "" {
		return fmt.Sprintf("error %q, fields %v", answer.Error, answer.Fields)
	}
	answeredBy := "no reply of a cache was recorded"
	if r, ok := c.replies.take(traceID); ok {
		answeredBy = r.String()
	}
	return fmt.Sprintf("%s: body %q, version %s", answeredBy, answer.Body, answer.Fields["ver"])
}
