package front

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"threadrun/decide"
	"threadrun/internal/sockets"
	"threadrun/internal/standin"
)

// desk takes visits and answers none.
type desk struct{ taken, left int }

func (d *desk) Ready() bool                             { return true }
func (d *desk) UseCase([]byte) (decide.UseCaseID, bool) { return 0, true }
func (d *desk) Arrive(Client, uint64, *Ask)             { d.taken++ }
func (d *desk) Left(decide.VisitID)                     { d.left++ }

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
	if err := e.Listen(door, 100, rpc.Accept); err != nil {
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
					shed <- a.Error
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
	for _, c := range clients {
		c.Close()
	}
	for i := 0; ; i++ {
		left, held := 0, 0
		e.Do(func() { left, held = d.left, rpc.bodies+rpc.held })
		if left == fit && held == 0 {
			break
		}
		if i > 5000 {
			t.Fatalf("%d of %d left, %d bytes held", left, fit, held)
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Do(func() {
		if d.taken != fit || !rpc.Quiet() {
			t.Errorf("%d taken of %d that fit", d.taken, fit)
		}
	})
}
