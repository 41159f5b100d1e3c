package transport

import (
	"io"
	"net"
	"testing"
)

// BenchmarkEcho measures a request and its response over loopback. The response is sent in three parts, as the
// router sends its responses.
func BenchmarkEcho(b *testing.B) {
	e := newEngine(b)
	e.SetMaxAccepted(8)
	address := freeAddress(b)
	head, body, tail := make([]byte, 20), make([]byte, 2000), make([]byte, 10)
	if err := e.Listen(address, func(c *Conn) Handler {
		return &testHandler{
			data:   func([]byte) error { c.Send(head, body, tail); return nil },
			closed: func(error) {},
		}
	}); err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer closeQuietly(conn)
	request, response := make([]byte, 150), make([]byte, 2030)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = conn.Write(request)
		if _, err := io.ReadFull(conn, response); err != nil {
			b.Fatal(err)
		}
	}
}
