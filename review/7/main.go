// Command 7 plays a case of the review: bad clients that state a figure out of range as the time that they wait.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"threadrun/internal/testserver"
	"threadrun/review/stage"
)

const (
	duration      = 100 * time.Second
	checkInterval = 500 * time.Millisecond
	noteInterval  = 5 * time.Second

	memoryMB = 48

	pageInterval = 12 * time.Millisecond // of the usual client
	timeout      = 3 * time.Second       // the deadline of the class
	serviceTime  = 5 * time.Millisecond
	pages        = 30
	pageBytes    = 2000

	badClients    = 20
	outOfRange    = 999_999_999 * time.Millisecond // 11 days
	unknownObject = "ffffffffffffffff"             // no cache knows it
	badTraces     = 1 << 40
)

func main() { stage.Play("7", play) }

func play(s *stage.Stage) (string, error) {
	deployment, err := s.StartDeployment(10, func(r *stage.Request) {
		if r.Fields["path"] == unknownObject {
			r.Reply("failed", "-", "")
			return
		}
		time.Sleep(serviceTime)
		stage.Data(r, pageBytes, time.Now().Add(-time.Second), "hit")
	})
	if err != nil {
		return "", err
	}
	router, err := s.StartRouter(deployment.Configuration(stage.Limits{MemoryMB: memoryMB, Sockets: 1024}))
	if err != nil {
		return "", err
	}
	end := time.Now().Add(duration)
	var usual, bad atomic.Int64
	if err := request(router.Address, end, &usual); err != nil {
		return "", err
	}
	stated := timeout
	if s.Trouble {
		stated = outOfRange
	}
	for i := range badClients {
		if err := ask(router.Address, uint64(badTraces*(i+1)), stated, end, &bad); err != nil {
			return "", err
		}
	}
	lastNote := time.Now()
	for time.Now().Before(end) {
		time.Sleep(checkInterval)
		if router.Ended() {
			return "the router ended", nil
		}
		mb, err := residentMB(router.Pid())
		if err != nil {
			return "", err
		}
		over := mb > memoryMB
		if over || time.Since(lastNote) > noteInterval {
			lastNote = time.Now()
			s.Note("the router holds %.1f MB of %d; answered: %d of the usual client, %d of the bad ones", mb, memoryMB,
				usual.Load(), bad.Load())
		}
		if over {
			return fmt.Sprintf("the router holds %.1f MB, and the platform kills it over %d MB", mb, memoryMB), nil
		}
	}
	return "", nil
}

// request requests pages as a usual client, at a steady rate.
func request(address string, end time.Time, answered *atomic.Int64) error {
	client, err := testserver.Connect(address)
	if err != nil {
		return err
	}
	go func() {
		defer client.Close()
		for trace := uint64(1); time.Now().Before(end); trace++ {
			object := fmt.Sprintf("%016x", trace%pages)
			_, answers := client.Send("page-asset", stage.Fields(trace, object, 0, timeout, 100), nil)
			go func() {
				<-answers
				answered.Add(1)
			}()
			time.Sleep(pageInterval)
		}
	}()
	return nil
}

// ask requests an object that no cache knows, and asks again as soon as it is turned away.
func ask(address string, trace uint64, stated time.Duration, end time.Time, answered *atomic.Int64) error {
	client, err := testserver.Connect(address)
	if err != nil {
		return err
	}
	go func() {
		defer client.Close()
		for ; time.Now().Before(end); trace++ {
			_, answers := client.Send("page-asset", stage.Fields(trace, unknownObject, 0, stated, 100), nil)
			select {
			case <-answers:
				answered.Add(1)
			case <-client.Closed():
				return
			}
		}
	}()
	return nil
}

const kbPerMB = 1024

// residentMB returns the memory of a process that is its own: not the pages of its program's file.
func residentMB(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		rest, found := strings.CutPrefix(line, "RssAnon:")
		if !found {
			continue
		}
		kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
		return kb / kbPerMB, err
	}
	return 0, os.ErrNotExist
}
