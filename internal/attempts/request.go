package attempts

import (
	"strconv"

	"threadrun/internal/resp"
	"threadrun/routing"
)

// Request is one request.
type Request struct {
	Class                  string
	ID, Object             ID
	Part                   int
	Budget                 routing.Micros
	Source                 string // "": no fill
	Rank                   int
	MaxAge                 routing.Micros // 0: the use case's own
	JoinFill, OnlyIfCached bool
	StaleWhileRevalidate   bool
	CachedVersion          []byte // the client's copy
	IdempotencyKey         []byte // by which repeats are dropped
}

// AppendRequest writes a request up to its body, of the given length, which is to follow with a line's end. Spans are
// cut to whole milliseconds, never to 0, which would mean something else.
func AppendRequest(b []byte, g *Request, body int, scratch []byte) ([]byte, []byte) {
	f := append(append(scratch[:0], "queue="...), g.Class...)
	f = append(append(f, ",path="...), g.Object[:]...)
	f = strconv.AppendInt(append(f, ",blk="...), int64(g.Part), 10)
	f = strconv.AppendInt(append(f, ",budget="...), millis(g.Budget), 10)
	if g.Source != "" {
		f = append(append(f, ",src="...), g.Source...)
	}
	if g.Rank > 0 {
		f = strconv.AppendInt(append(f, ",keep="...), int64(g.Rank), 10)
	}
	if g.MaxAge > 0 {
		f = strconv.AppendInt(append(f, ",maxage="...), millis(g.MaxAge), 10)
	}
	sep := ",flags="
	for _, flag := range [...]struct {
		on   bool
		name string
	}{{g.JoinFill, "share"}, {g.OnlyIfCached, "peek"}, {g.StaleWhileRevalidate, "swr"}} {
		if flag.on {
			f = append(append(f, sep...), flag.name...)
			sep = "+"
		}
	}
	if len(g.IdempotencyKey) > 0 {
		f = append(append(f, ",uniq="...), g.IdempotencyKey...)
	}
	if len(g.CachedVersion) > 0 {
		f = append(append(f, ",have="...), g.CachedVersion...)
	}
	b = resp.AppendWord(resp.AppendWord(resp.AppendArray(b, 4), "GET"), g.ID[:])
	return resp.AppendHead(resp.AppendWord(b, f), body), f
}

func millis(t routing.Micros) int64 { return max(int64(t/1000), 1) }
