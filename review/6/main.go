// Command 6 plays a case of the review: a second copy of the answer "full" to a one-shot booking.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"threadrun/internal/testserver"
	"threadrun/review/stage"
)

const (
	duration        = 20 * time.Second
	pageInterval    = 12 * time.Millisecond
	bookingInterval = 400 * time.Millisecond
	refusedOf       = 3                      // the source refuses the first attempt of one booking in three
	refusalTime     = 60 * time.Millisecond  // until the cache knows that its source refused
	secondCopyAfter = 8 * time.Millisecond   // from the answer "full" to its second copy
	workTime        = 100 * time.Millisecond // a booking at the origin
	pageTime        = 5 * time.Millisecond
	timeout         = 3 * time.Second
	pages           = 30
	pageClass       = "page-asset"
	bookingClass    = "slot-booking"
	pageBytes       = 2000
	traceOfBookings = 1 << 32
)

// bookings counts, by trace id, the attempts that came to a cache and the times that the booking ran.
type bookings struct {
	stage *stage.Stage
	mu    sync.Mutex
	seen  map[string]int
	ran   map[string]int
	total int
}

// handle answers as a cache does.
func (b *bookings) handle(r *stage.Request) {
	if r.Fields["queue"] != bookingClass {
		time.Sleep(pageTime)
		stage.Data(r, pageBytes, time.Now().Add(-time.Second), "hit")
		return
	}
	b.mu.Lock()
	b.seen[r.ID]++
	attempt := b.seen[r.ID]
	if attempt == 1 {
		b.total++
	}
	refused := attempt == 1 && b.total%refusedOf == 0
	b.mu.Unlock()
	b.stage.Note("booking %s: attempt %d has come whole to a cache, src=%s", r.ID, attempt, r.Fields["src"])
	if refused {
		b.refuse(r)
		return
	}
	time.Sleep(workTime)
	b.mu.Lock()
	b.ran[r.ID]++
	b.stage.Note("booking %s: attempt %d RAN at the origin, %d in all", r.ID, attempt, b.ran[r.ID])
	b.mu.Unlock()
	r.Reply("data", "detail=filled", "booked")
}

// refuse turns a booking away because its source refused it: it never ran.
func (b *bookings) refuse(r *stage.Request) {
	time.Sleep(refusalTime)
	r.Reply("full", "-", "")
	b.stage.Note("booking %s: answered full, it never ran", r.ID)
	if !b.stage.Trouble {
		return
	}
	time.Sleep(secondCopyAfter)
	r.Reply("full", "-", "")
	b.stage.Note("booking %s: second copy of that answer", r.ID)
}

// twice returns a booking that ran twice, or an empty string.
func (b *bookings) twice() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	count, first := 0, ""
	for id, n := range b.ran {
		if n > 1 {
			count++
			first = id
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d bookings ran more than once, such as %s", count, b.total, first)
}

func main() { stage.Play("6", play) }

func play(s *stage.Stage) (string, error) {
	b := &bookings{stage: s, seen: map[string]int{}, ran: map[string]int{}}
	deployment, err := s.StartDeployment(2, b.handle)
	if err != nil {
		return "", err
	}
	router, err := s.StartRouter(deployment.Configuration(stage.Limits{MemoryMB: 192, Sockets: 1024}))
	if err != nil {
		return "", err
	}
	client, err := testserver.Connect(router.Address)
	if err != nil {
		return "", err
	}
	var answered atomic.Int64
	end := time.Now().Add(duration)
	go requestPages(client, end, &answered)
	for trace := uint64(traceOfBookings); time.Now().Before(end); trace++ {
		object := fmt.Sprintf("%016x", trace)
		_, answers := client.Send(bookingClass, stage.Fields(trace, object, 0, timeout, 2), []byte("slot"))
		select {
		case a := <-answers:
			s.Note("booking %016x: the client got %q %q", trace, a.Error, a.Body)
		case <-client.Closed():
			return "", fmt.Errorf("the router closed the client's connection")
		}
		time.Sleep(bookingInterval)
	}
	time.Sleep(workTime * 2)
	s.Note("%d pages answered", answered.Load())
	return b.twice(), nil
}

// requestPages requests pages at a steady rate.
func requestPages(client *testserver.Client, end time.Time, answered *atomic.Int64) {
	for trace := uint64(1); time.Now().Before(end); trace++ {
		object := fmt.Sprintf("%016x", trace%pages)
		_, answers := client.Send(pageClass, stage.Fields(trace, object, 0, timeout, 100), nil)
		go func() {
			<-answers
			answered.Add(1)
		}()
		time.Sleep(pageInterval)
	}
}
