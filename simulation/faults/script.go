// Package faults writes, reads, draws, changes and shortens scripts of faults. It is free of I/O, and carries none of them out.
//
// A script is text, one line an event: when, and what. Empty lines and those that begin with # are passed over.
//
//	12.350s drain cache-4
//	12.600s purge group-17
//	12.700s origin slow x4 for 9s
package faults

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"threadrun/internal/clock"
)

// Micros is a time or a span in microseconds.
type Micros = clock.Micros

// Kind is a kind of fault.
type Kind uint8

const (
	Drain              Kind = iota // the list says that a cache drains; after its span it has started anew
	Remove                         // the list says that it is gone, and it ends; after its span it has started anew
	Replace                        // it ends, and another one has its address
	Purge                          // of an object or a group
	Crash                          // a process is killed; after its span there is a new one
	Pause                          // a process gets no turn
	Shutdown                       // a router is asked to end; after its span there is a new one
	Partition                      // a machine is off the network, silently
	Slow                           // a machine takes so many times as long
	Reject                         // it turns all away
	Fail                           // it fails what it is asked
	HangConnects                   // new connections to it come to nothing
	Truncate                       // its answers stop after the head
	HalfClose                      // it ends connections for writing behind an answer, and reads on
	ExhaustDescriptors             // a router holds as many descriptors as it may
	ClockJump                      // a machine's wall clock is off by its span
	Cut                            // nothing gets from one machine to another
	Loss                           // a share of the datagrams from one to another is lost, and as many come twice
	Throttle                       // the way from one to another is slow, and its bytes come in small parts
	Reset                          // connections between two machines are reset: new ones, idle ones, or used ones
	DelayDiscovery                 // news reaches the bulletin late
	FragmentDiscovery              // the bulletin's answers come in pieces
	DiscoveryOutage                // the bulletin is out of reach
	LoadSurge                      // so many times the visits
	HotObject                      // half the visits are to one object
	ClientsCancel                  // a share of the clients leave early and ask again
	LargeWrites                    // all visits bring as much as they may
	kinds
)

// syntax are how lines read: a star stands for a name, a plus for a word from a list.
var syntax = [kinds]string{Drain: "drain *", Remove: "remove *", Replace: "replace *", Purge: "purge *", Crash: "* dies", Pause: "* stops",
	Shutdown: "* leaves", Partition: "* lost", Slow: "* slow", Reject: "* refuses", Fail: "* fails", HangConnects: "* hangs", Truncate: "* halves",
	HalfClose: "* finishes", ExhaustDescriptors: "* full", ClockJump: "* leaps", Cut: "way * * cut", Loss: "way * * lossy", Throttle: "way * * narrow",
	Reset: "way * * reset +", DelayDiscovery: "list late", FragmentDiscovery: "list in pieces", DiscoveryOutage: "list down", LoadSurge: "clients crowd", HotObject: "clients at *",
	ClientsCancel: "clients leave", LargeWrites: "clients heavy"}

var names = [kinds]string{"drain", "remove", "replace", "purge", "dies", "stops", "leaves", "lost", "slow", "refuses", "fails", "hangs",
	"halves", "finishes", "full", "leaps", "cut", "lossy", "narrow", "reset", "late list", "list in pieces", "no list", "crowd", "hot", "leave", "heavy"}

// The variants of Reset: which connections it is meant for.
const (
	ResetNew  = "new"
	ResetIdle = "idle"
	ResetUsed = "used"
)

// ResetVariants are all of them.
var ResetVariants = [...]string{ResetNew, ResetIdle, ResetUsed}

// HasSpan and Sized tell of a verb whether its line has a span and a size.
func (v Kind) HasSpan() bool { return v != Replace && v != Purge && v != Reset }

// HasMagnitude tells whether a verb's line has a size.
func (v Kind) HasMagnitude() bool {
	return v == Slow || v == Loss || v == LoadSurge || v == ClientsCancel || v == Reset
}

func (v Kind) String() string { return names[v] }

// Line is one event of a script.
type Line struct {
	At        Micros
	Kind      Kind
	Targets   []string // as many as the verb's form has
	Variant   string   // of Reset
	Magnitude float64
	Span      Micros
}

// Script is what happens, in the order of time.
type Script []Line

// ErrSyntax is the error of a line that can't be read.
var ErrSyntax = errors.New("faults: unreadable line")

// String writes a script as Parse reads it.
func (s Script) String() string {
	var b strings.Builder
	for _, l := range s {
		b.WriteString(l.String())
		b.WriteByte('\n')
	}
	return b.String()
}

func (l Line) String() string {
	words := []string{formatSeconds(l.At)}
	n := 0
	for _, w := range strings.Fields(syntax[l.Kind]) {
		switch w {
		case "*":
			w = l.Targets[n]
			n++
		case "+":
			w = l.Variant
		}
		words = append(words, w)
	}
	if l.Kind.HasMagnitude() {
		words = append(words, "x"+strconv.FormatFloat(l.Magnitude, 'g', -1, 64))
	}
	if l.Kind.HasSpan() {
		words = append(words, "for", formatSeconds(l.Span))
	}
	return strings.Join(words, " ")
}

// formatSeconds writes a time or a span in seconds, to the millisecond.
func formatSeconds(m Micros) string { return strconv.FormatFloat(m.Seconds(), 'f', -1, 64) + "s" }

func parseSeconds(s string) (Micros, bool) {
	text, ok := strings.CutSuffix(s, "s")
	x, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil || x < -1e6 || x > 1e6 {
		return 0, false
	}
	ms := x * 1000
	if ms < 0 {
		ms--
	}
	return Micros(ms+0.5) * clock.Millisecond, true
}

// Parse reads a script.
func Parse(text string) (Script, error) {
	var s Script
	for i, row := range strings.Split(text, "\n") {
		row = strings.TrimSpace(row)
		if row == "" || row[0] == '#' {
			continue
		}
		l, err := parseLine(row)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		s = append(s, l)
	}
	s.sort()
	return s, nil
}

func (s Script) sort() {
	slices.SortStableFunc(s, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}

// parseLine reads one line.
func parseLine(row string) (Line, error) {
	bad := func(why string) (Line, error) { return Line{}, fmt.Errorf("%w: %q: %s", ErrSyntax, row, why) }
	words := strings.Fields(row)
	at, ok := parseSeconds(words[0])
	if !ok || at < 0 {
		return bad("no time")
	}
	words = words[1:]
	l := Line{At: at}
	lasts, sized := false, false
	if n := len(words); n > 2 && words[n-2] == "for" {
		if l.Span, ok = parseSeconds(words[n-1]); !ok {
			return bad("no span")
		}
		words, lasts = words[:n-2], true
	}
	if n := len(words); n > 1 && words[n-1][0] == 'x' {
		if x, err := strconv.ParseFloat(words[n-1][1:], 64); err == nil {
			l.Magnitude, sized = x, true
			words = words[:n-1]
		}
	}
	for v := range kinds {
		names, mood, ok := matchSyntax(strings.Fields(syntax[v]), words)
		if !ok {
			continue
		}
		if v.HasSpan() != lasts || v.HasMagnitude() != sized {
			return bad("span or size too many, or missing")
		}
		if l.Span < 0 && v != ClockJump || !(l.Magnitude >= 0 && l.Magnitude <= 1e6) {
			return bad("out of bounds")
		}
		l.Kind, l.Targets, l.Variant = v, names, mood
		return l, nil
	}
	return bad("unknown")
}

func matchSyntax(form, words []string) (names []string, mood string, ok bool) {
	if len(form) != len(words) {
		return nil, "", false
	}
	for i, f := range form {
		switch {
		case f == "*":
			names = append(names, words[i])
		case f == "+" && slices.Contains(ResetVariants[:], words[i]):
			mood = words[i]
		case f != words[i]:
			return nil, "", false
		}
	}
	return names, mood, true
}

// End is when the last line's span is over.
func (s Script) End() (end Micros) {
	for _, l := range s {
		end = max(end, l.At+max(l.Span, 0))
	}
	return end
}
