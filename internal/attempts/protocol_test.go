package attempts

import (
	"fmt"
	"testing"
)

// requestHead is the encoded start of each request, up to its fields.
const requestHead = "*4\r\n$3\r\nGET\r\n$16\r\n0000000000000001\r\n"

// Requests must be encoded exactly as the cache protocol defines, without allocating memory.
func TestAppendRequest(t *testing.T) {
	minimal := Request{Class: "order", ID: requestID(1), Object: requestID(0), Part: 2, Budget: 1_234_567}
	full := minimal
	full.Source = "parent-1"
	full.Rank = 3
	full.MaxAge = 999 // microseconds; sent as 1 ms
	full.JoinFill = true
	full.OnlyIfCached = true
	full.StaleWhileRevalidate = true
	full.IdempotencyKey = []byte("key-1")
	full.CachedVersion = []byte("version-1")
	oneFlag := minimal
	oneFlag.StaleWhileRevalidate = true
	shortBudget := minimal
	shortBudget.Budget = 1
	const common = "queue=order,path=0000000000000000,blk=2,"
	for _, test := range []struct {
		name    string
		request Request
		fields  string
	}{
		{"required fields", minimal, common + "budget=1234"},
		{"all fields", full, common +
			"budget=1234,src=parent-1,keep=3,maxage=1,flags=share+peek+swr,uniq=key-1,have=version-1"},
		{"one flag", oneFlag, common + "budget=1234,flags=swr"},
		{"a budget below 1 ms", shortBudget, common + "budget=1"},
	} {
		got, scratch := AppendRequest(nil, &test.request, 5, nil)
		want := fmt.Sprintf("%s$%d\r\n%s\r\n$5\r\n", requestHead, len(test.fields), test.fields)
		if string(got) != want {
			t.Errorf("%s: encoded as\n%q, want\n%q", test.name, got, want)
		}
		if n := testing.AllocsPerRun(100, func() {
			got, scratch = AppendRequest(got[:0], &test.request, 5, scratch)
		}); n != 0 {
			t.Errorf("%s: %v allocations, want 0", test.name, n)
		}
	}
}

// A status that is unknown, or that lacks the body it requires, must be Unknown.
func TestParseStatus(t *testing.T) {
	for _, test := range []struct {
		word     string
		elements int
		want     Status
	}{
		{"data", 4, OK},
		{"data", 3, Unknown}, // without a body
		{"unchanged", 4, NotModified},
		{"unchanged", 2, Unknown},
		{"absent", 2, NotFound},
		{"full", 3, Overloaded},
		{"failed", 2, Failed},
		{"moot", 2, Expired},
		{"odd", 4, Unknown},
		{"", 2, Unknown},
	} {
		if got := parseStatus([]byte(test.word), test.elements); got != test.want {
			t.Errorf("%q in a response of %d elements: status %d, want %d", test.word, test.elements, got, test.want)
		}
	}
}
