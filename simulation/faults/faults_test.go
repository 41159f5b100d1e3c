package faults

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"threadrun/internal/clock"
	"threadrun/internal/testseed"
)

// TestMain makes the random tests use the same seeds in each run.
func TestMain(m *testing.M) { testseed.Main(m, 20261202, 0) }

var topology = Topology{Routers: 3, Caches: 12, Parents: 2, Objects: 60, Groups: 8, Until: 30 * clock.Second}

// Parse accepts what String writes, for generated and mutated scripts. Their lines are sorted, begin outside of the
// quiet spans, and have the span and the magnitude that their kind requires.
func TestParseReadsWhatStringWrites(t *testing.T) {
	kinds := map[Kind]int{}
	rapid.Check(t, func(t *rapid.T) {
		g := NewGenerator(topology, rapid.Uint64().Draw(t, "seed"))
		s := g.Script()
		for range rapid.IntRange(0, 6).Draw(t, "mutations") {
			s = g.Mutate(s, g.Script())
		}
		text := s.String()
		parsed, err := Parse(text)
		if err != nil || parsed.String() != text || len(parsed) != len(s) {
			t.Fatalf("error %v, script:\n%s\nparsed and formatted:\n%s", err, text, parsed)
		}
		for i, l := range s {
			kinds[l.Kind]++
			if l.At < quietStart || l.At > topology.Until-quietEnd ||
				l.Kind.HasSpan() && l.Span == 0 || l.Kind.HasMagnitude() && l.Magnitude <= 0 {
				t.Fatalf("time, span or magnitude out of bounds: %s", l)
			}
			if i > 0 && l.At < s[i-1].At {
				t.Fatalf("lines out of order:\n%s", s)
			}
		}
	})
	for kind := range kinds {
		if kinds[kind] == 0 {
			t.Errorf("%s is never generated", kind)
		}
	}
}

// Lines are parsed as documented on the page on fault scripts; the error for an invalid line contains its number.
func TestParse(t *testing.T) {
	s, err := Parse(`# a day
12.350s drain cache-4 for 5s

12.600s purge group-17
12.7s origin slow x4 for 9s
11s way router-1 cache-2 reset idle x3
`)
	if err != nil || len(s) != 4 {
		t.Fatal(s, err)
	}
	link := []string{"router-1", "cache-2"}
	reset := Line{At: 11 * clock.Second, Kind: Reset, Targets: link, Variant: ResetIdle, Magnitude: 3}
	if !reflect.DeepEqual(s[0], reset) {
		t.Errorf("parsed reset: %+v", s[0])
	}
	origin := []string{Origin}
	slow := Line{At: 12_700 * clock.Millisecond, Kind: Slow, Targets: origin, Magnitude: 4, Span: 9 * clock.Second}
	if !reflect.DeepEqual(s[3], slow) {
		t.Errorf("parsed slow origin: %+v", s[3])
	}
	for _, line := range []string{"drain cache-1", "5 drain cache-1 for 1s", "5s drain cache-1", "5s drain for 1s",
		"5s cache-1 slow for 1s", "5s cache-1 slow xmuch for 1s",
		"5s cache-1 melts for 1s", "5s way a b reset loud x1", "-5s purge group-1",
		"5s cache-1 stops for -1s", "5s purge group-1 for 1s", "5s"} {
		_, err := Parse("3s purge group-1\n" + line)
		if !errors.Is(err, ErrSyntax) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", line, err)
		}
	}
}

// A long script that fails because of two lines shrinks to these two lines, close together, with a small span and
// magnitude, and within the allowed number of runs.
func TestShrink(t *testing.T) {
	failing := 0
	for seed := uint64(1); seed <= 200; seed++ {
		g := NewGenerator(topology, seed)
		s := g.Script()
		for range 3 {
			s = g.Mutate(s, g.Script())
		}
		fails := func(s Script) bool { // a purge while a cache or another machine is slow
			for _, purge := range s {
				for _, l := range s {
					if purge.Kind == Purge && l.Kind == Slow && purge.At >= l.At && purge.At <= l.At+l.Span {
						return true
					}
				}
			}
			return false
		}
		if !fails(s) {
			continue
		}
		failing++
		runs := 0
		short := Shrink(s, 400, func(s Script) bool {
			runs++
			return fails(s)
		})
		if len(short) != 2 || !fails(short) || runs > 400 {
			t.Errorf("seed %d, %d runs: not shrunk to two failing lines:\n%s", seed, runs, short)
			continue
		}
		apart := short[1].At - short[0].At
		if apart > 10*clock.Millisecond || short[0].Span > 100*clock.Millisecond || short[0].Magnitude > 2 {
			t.Errorf("seed %d: gap, span or magnitude too large:\n%s", seed, short)
		}
	}
	if failing < 20 {
		t.Errorf("only %d of 200 scripts fail and can be shrunk", failing)
	}
}

// A search is reproducible, and reaches at least a quarter more situations than generated scripts. Here a situation
// is a pair of kinds of faults that begin within one second.
func TestSearch(t *testing.T) {
	situationsOf := func(s Script) (situations []string) {
		for i, a := range s {
			for _, b := range s[:i] {
				if a.At-b.At <= clock.Second && a.Kind != b.Kind {
					situations = append(situations, b.Kind.String()+"+"+a.Kind.String())
				}
			}
		}
		return situations
	}
	runSearch := func(enabled bool) (*Search, string) {
		s := NewSearch(topology, 7, enabled)
		var generated strings.Builder
		for g := range uint64(20) {
			var scripts []Script
			var reached [][]string
			for i := range uint64(32) {
				script := s.Script(g*32 + i)
				scripts, reached = append(scripts, script), append(reached, situationsOf(script))
				generated.WriteString(script.String())
			}
			s.Record(scripts, reached)
		}
		return s, generated.String()
	}
	withoutSearch, _ := runSearch(false)
	withSearch, first := runSearch(true)
	_, second := runSearch(true)
	if first != second {
		t.Error("two searches with the same seed generate different scripts")
	}
	if len(withSearch.Reached()) < len(withoutSearch.Reached())*5/4 {
		t.Errorf("%d situations reached, %d without the search", len(withSearch.Reached()), len(withoutSearch.Reached()))
	}
}

// Scripts for a deployment with one router contain no loss of datagrams, which needs a second router. Guards against
// an endless search for that router when targets are drawn.
func TestScriptsOfOneRouter(t *testing.T) {
	one := topology
	one.Routers = 1
	for seed := uint64(1); seed <= 500; seed++ {
		g := NewGenerator(one, seed)
		s := g.Script()
		for range 5 {
			s = append(s, g.drawUnweightedLine(s))
		}
		for _, l := range s {
			if l.Kind == Loss {
				t.Errorf("seed %d: a line that needs a second router: %s", seed, l.String())
			}
		}
	}
}
