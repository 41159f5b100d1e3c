package transport

import (
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkEcho is one message there and back over loopback, answered in three parts as a visit is.
func BenchmarkEcho(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e, err := New(log, 256)
	if err != nil {
		b.Fatal(err)
	}
	defer e.Stop()
	e.SetMaxAccepted(8)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := probe.Addr().String()
	probe.Close()
	head, body, tail := make([]byte, 20), make([]byte, 2000), make([]byte, 10)
	if err := e.Listen(address, func(c *Conn) Handler {
		return &party{data: func([]byte) error { c.Send(head, body, tail); return nil }, closed: func(error) {}}
	}); err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	ask, answer := make([]byte, 150), make([]byte, 2030)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = conn.Write(ask)
		if _, err := io.ReadFull(conn, answer); err != nil {
			b.Fatal(err)
		}
	}
}
