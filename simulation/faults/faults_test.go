package faults

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// The random runs are the same every time.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

var cast = Topology{Routers: 3, Caches: 12, Parents: 2, Objects: 60, Groups: 8, Until: 30 * clock.Second}

// The parser and the printer agree, on what is drawn and on what is changed.
func TestReadAndWritten(t *testing.T) {
	kinds := map[Kind]int{}
	rapid.Check(t, func(t *rapid.T) {
		g := NewGenerator(cast, rapid.Uint64().Draw(t, "seed"))
		s := g.Script()
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			s = g.Mutate(s, g.Script())
		}
		text := s.String()
		again, err := Parse(text)
		if err != nil || again.String() != text || len(again) != len(s) {
			t.Fatalf("%v\n%s\n%s", err, text, again)
		}
		for i, l := range s {
			kinds[l.Kind]++
			if l.At < quietStart || l.At > cast.Until-quietEnd || l.Kind.HasSpan() && l.Span == 0 || l.Kind.HasMagnitude() && l.Magnitude <= 0 {
				t.Fatalf("%s", l)
			}
			if i > 0 && l.At < s[i-1].At {
				t.Fatalf("out of order:\n%s", s)
			}
		}
	})
	for v := range kinds {
		if kinds[v] == 0 {
			t.Errorf("%s is never drawn", v)
		}
	}
}

// The lines that the page shows are read as they are meant, and what can't be read is named with its line.
func TestLines(t *testing.T) {
	s, err := Parse("# a day\n12.350s drain cache-4 for 5s\n\n12.600s purge group-17\n12.7s origin slow x4 for 9s\n11s way router-1 cache-2 reset idle x3\n")
	if err != nil || len(s) != 4 {
		t.Fatal(s, err)
	}
	if l := s[0]; l.Kind != Reset || l.Variant != "idle" || l.Magnitude != 3 || !slices.Equal(l.Targets, []string{"router-1", "cache-2"}) {
		t.Errorf("%+v", l)
	}
	if l := s[3]; l.Kind != Slow || l.At != 12_700*clock.Millisecond || l.Span != 9*clock.Second || l.Magnitude != 4 || l.Targets[0] != "origin" {
		t.Errorf("%+v", l)
	}
	for _, bad := range []string{"drain cache-1", "5 drain cache-1 for 1s", "5s drain cache-1", "5s drain for 1s", "5s cache-1 slow for 1s", "5s cache-1 slow xmuch for 1s",
		"5s cache-1 melts for 1s", "5s way a b reset loud x1", "-5s purge group-1", "5s cache-1 stops for -1s", "5s purge group-1 for 1s", "5s"} {
		if _, err := Parse("3s purge group-1\n" + bad); !errors.Is(err, ErrSyntax) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// A long script that fails for two lines' sake ends as those two, close to each other, with small spans and sizes.
func TestShrink(t *testing.T) {
	found := 0
	for seed := uint64(1); seed <= 200; seed++ {
		g := NewGenerator(cast, seed)
		s := g.Script()
		for range 3 {
			s = g.Mutate(s, g.Script())
		}
		fails := func(s Script) bool { // a purge while a cache or another machine is slow
			for _, p := range s {
				for _, l := range s {
					if p.Kind == Purge && l.Kind == Slow && p.At >= l.At && p.At <= l.At+l.Span {
						return true
					}
				}
			}
			return false
		}
		if !fails(s) {
			continue
		}
		found++
		asked := 0
		short := Shrink(s, 400, func(s Script) bool { asked++; return fails(s) })
		if len(short) != 2 || !fails(short) || asked > 400 {
			t.Errorf("seed %d, %d plays:\n%s", seed, asked, short)
		} else if short[1].At-short[0].At > 10*clock.Millisecond || short[0].Span > 100*clock.Millisecond || short[0].Magnitude > 2 {
			t.Errorf("seed %d:\n%s", seed, short)
		}
	}
	if found < 20 {
		t.Errorf("%d scripts to cut down", found)
	}
}

// The search is the same each time, keeps what reaches anything new, and goes where plain draws seldom do.
func TestSearch(t *testing.T) {
	reach := func(s Script) (all []string) { // what is near what
		for i, a := range s {
			for _, b := range s[:i] {
				if a.At-b.At <= clock.Second && a.Kind != b.Kind {
					all = append(all, b.Kind.String()+"+"+a.Kind.String())
				}
			}
		}
		return all
	}
	play := func(on bool) (*Search, string) {
		s := NewSearch(cast, 7, on)
		var last strings.Builder
		for g := range uint64(20) {
			var scripts []Script
			var reached [][]string
			for i := range uint64(32) {
				x := s.Script(g*32 + i)
				scripts, reached = append(scripts, x), append(reached, reach(x))
				last.WriteString(x.String())
			}
			s.Record(scripts, reached)
		}
		return s, last.String()
	}
	plain, _ := play(false)
	a, first := play(true)
	_, second := play(true)
	if first != second {
		t.Error("two searches from one seed")
	}
	if len(a.Reached()) < len(plain.Reached())*5/4 {
		t.Errorf("%d situations, %d without", len(a.Reached()), len(plain.Reached()))
	}
}
