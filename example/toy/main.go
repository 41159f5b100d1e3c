// Command toy runs a small deployment on loopback for trying out the router: discovery, two caches, a parent and
// an origin at the addresses of example/config.json, and a client. The client requests an object twice, has it
// purged and requests it again, then sends one request a second until the program is interrupted. For each request
// it prints which cache answered, and whether that was a hit or a fill.
package main

import (
	"fmt"
	"log"
	"time"
)

const (
	answerDelay = 50 * time.Millisecond  // time for the router to finish handling the previous answer
	purgeDelay  = 100 * time.Millisecond // time for the router to receive a purge
)

func main() {
	d, err := startDeployment()
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println("the deployment is up; waiting for the router at", routerAddress)
	c := connectClient(d.replies)
	showPurge(d, c)
	d.printRequests()
	fmt.Println("one request a second from now on; an interrupt ends the client and the deployment")
	c.requestEverySecond()
}

// showPurge requests an object three times. The answers are a fill, a hit and, after a purge, a fill of the new
// version.
func showPurge(d *deployment, c *client) {
	c.request("first request", objects[0])
	time.Sleep(answerDelay)
	c.request("second request", objects[0])
	d.discovery.AnnouncePurge(objects[0], time.Now())
	fmt.Println("purged")
	time.Sleep(purgeDelay)
	c.request("after the purge", objects[0])
}
