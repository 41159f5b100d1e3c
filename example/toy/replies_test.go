package main

import (
	"testing"
	"time"
)

// A request that was retried at another cache must be shown with the cache that answered last, and a reply must
// not be returned again for a later request.
func TestLastReplyIsTaken(t *testing.T) {
	log := &replyLog{byRequest: map[string]reply{}}
	log.record("01", reply{cache: "cache-1"})
	log.record("01", reply{cache: "cache-2", source: "parent", status: "filled"})
	r, ok := log.take("01")
	if !ok || r.String() != "cache-2 filled from parent, age 0.0 s" {
		t.Errorf("the reply is %q, found %v", r, ok)
	}
	if _, ok := log.take("01"); ok {
		t.Error("a reply was taken twice")
	}
}

// Each cache status must be shown as a hit, a fill or no copy.
func TestReplyNamesHitOrFill(t *testing.T) {
	for _, c := range []struct {
		status, want string
	}{
		{"hit", "cache-1 hit, age 2.0 s"},
		{"stale", "cache-1 hit, stale, age 2.0 s"},
		{"filled", "cache-1 filled from origin, age 2.0 s"},
		{"", "cache-1 sent no copy"},
	} {
		r := reply{cache: "cache-1", source: "origin", status: c.status, age: 2 * time.Second}
		if r.String() != c.want {
			t.Errorf("status %q is shown as %q", c.status, r)
		}
	}
}
