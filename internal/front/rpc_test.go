package front

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/decide"
	"threadrun/internal/sockets"
	"threadrun/internal/standin"
)

// desk takes visits and answers none.
type desk struct {
	taken, left int
	first       Client
}

func (d *desk) Ready() bool                             { return true }
func (d *desk) UseCase([]byte) (decide.UseCaseID, bool) { return 0, true }
func (d *desk) Arrive(c Client, _ uint64, _ *Ask) {
	if d.taken++; d.first == nil {
		d.first = c
	}
}
func (d *desk) Left(decide.VisitID) { d.left++ }

// Writes beyond what the memory is to hold are deferred at once; clients that go give their part back.
func TestWritesFlood(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := sockets.New(log, 256)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	door := l.Addr().String()
	l.Close()
	d := &desk{}
	rpc := NewRPC(e, log, d, 1<<20, 100, time.Minute)
	e.Bound(100)
	if err := e.Listen(door, rpc.Accept); err != nil {
		t.Fatal(err)
	}
	const asked, fit = 13 * openMost, bodiesMost / bodyMost
	var clients []*standin.Client
	shed := make(chan string, asked)
	for i := 0; i < 13; i++ {
		c, err := standin.Connect(door)
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
		for j := 0; j < openMost; j++ {
			_, ch := c.Ask("order", standin.Visit(1, "00000000000000aa", time.Second), make([]byte, bodyMost))
			go func() {
				select {
				case a := <-ch:
					shed <- strings.TrimSpace(a.Error + " " + a.Fields["pause"])
				case <-c.Ended():
				}
			}()
		}
	}
	for i := 0; i < asked-fit; i++ {
		select {
		case word := <-shed:
			if word != "Shed" {
				t.Fatalf("answer %q", word)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d deferred", i, asked-fit)
		}
	}
	// One of those held is deferred, with a time to come back; its part comes free at once.
	var held int
	e.Do(func() {
		held = rpc.bodies
		d.first.Defer(1, 1500)
		d.first.Defer(1, 1500)
		held -= rpc.bodies
	})
	if word := <-shed; word != "Shed 2" || held != bodyMost {
		t.Errorf("answer %q, %d bytes free", word, held)
	}
	for _, c := range clients {
		c.Close()
	}
	for i := 0; ; i++ {
		left, held := 0, 0
		e.Do(func() { left, held = d.left, rpc.bodies+rpc.held })
		if left == fit-1 && held == 0 {
			break
		}
		if i > 5000 {
			t.Fatalf("%d of %d left, %d bytes held", left, fit-1, held)
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Do(func() {
		if d.taken != fit || !rpc.Quiet() {
			t.Errorf("%d taken of %d that fit", d.taken, fit)
		}
	})
}
