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

// Micros is a time or a span in whole microseconds.
type Micros = clock.Micros

// Verb is a kind of fault.
type Verb uint8

const (
	Drain    Verb = iota // the list says that a cache drains; after its span it has started anew
	Remove               // the list says that it is gone, and it ends; after its span it has started anew
	Replace              // it ends, and another one has its address
	Purge                // of an object or a group
	Dies                 // a process is killed; after its span there is a new one
	Stops                // a process gets no turn
	Leaves               // a router is asked to end; after its span there is a new one
	Lost                 // a machine is off the network, silently
	Slow                 // a machine takes so many times as long
	Refuses              // it turns all away
	Fails                // it fails what it is asked
	Hangs                // new connections to it come to nothing
	Halves               // its answers stop after the head
	Finishes             // it ends connections for writing behind an answer, and reads on
	Full                 // a router holds as many descriptors as it may
	Leaps                // a machine's wall clock is off by its span
	Cut                  // nothing gets from one machine to another
	Lossy                // a share of the datagrams from one to another is lost, and as many come twice
	Narrow               // the way from one to another is slow, and its bytes come in small parts
	Reset                // connections between two machines are reset: new ones, idle ones, or used ones
	Late                 // news reaches the bulletin late
	Pieces               // the bulletin's answers come in pieces
	Down                 // the bulletin is out of reach
	Crowd                // so many times the visits
	Hot                  // half the visits are to one object
	Leave                // a share of the clients leave early and ask again
	Heavy                // all visits bring as much as they may
	verbs
)

// forms are how lines read: a star stands for a name, a plus for a word from a list.
var forms = [verbs]string{Drain: "drain *", Remove: "remove *", Replace: "replace *", Purge: "purge *", Dies: "* dies", Stops: "* stops",
	Leaves: "* leaves", Lost: "* lost", Slow: "* slow", Refuses: "* refuses", Fails: "* fails", Hangs: "* hangs", Halves: "* halves",
	Finishes: "* finishes", Full: "* full", Leaps: "* leaps", Cut: "way * * cut", Lossy: "way * * lossy", Narrow: "way * * narrow",
	Reset: "way * * reset +", Late: "list late", Pieces: "list in pieces", Down: "list down", Crowd: "clients crowd", Hot: "clients at *",
	Leave: "clients leave", Heavy: "clients heavy"}

var names = [verbs]string{"drain", "remove", "replace", "purge", "dies", "stops", "leaves", "lost", "slow", "refuses", "fails", "hangs",
	"halves", "finishes", "full", "leaps", "cut", "lossy", "narrow", "reset", "late list", "list in pieces", "no list", "crowd", "hot", "leave", "heavy"}

// Moods are the words of Reset.
var Moods = [...]string{"new", "idle", "used"}

// Lasts and Sized tell of a verb whether its line has a span and a size.
func (v Verb) Lasts() bool { return v != Replace && v != Purge && v != Reset }

// Sized tells whether a verb's line has a size.
func (v Verb) Sized() bool {
	return v == Slow || v == Lossy || v == Crowd || v == Leave || v == Reset
}

func (v Verb) String() string { return names[v] }

// Line is one event of a script.
type Line struct {
	At    Micros
	Do    Verb
	Names []string // as many as the verb's form has
	Mood  string   // of Reset
	Size  float64
	Span  Micros
}

// Script is what happens, in the order of time.
type Script []Line

// ErrLine is the error of a line that can't be read.
var ErrLine = errors.New("faults: unreadable line")

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
	words := []string{stamp(l.At)}
	n := 0
	for _, w := range strings.Fields(forms[l.Do]) {
		switch w {
		case "*":
			w = l.Names[n]
			n++
		case "+":
			w = l.Mood
		}
		words = append(words, w)
	}
	if l.Do.Sized() {
		words = append(words, "x"+strconv.FormatFloat(l.Size, 'g', -1, 64))
	}
	if l.Do.Lasts() {
		words = append(words, "for", stamp(l.Span))
	}
	return strings.Join(words, " ")
}

// stamp writes a time or a span in seconds, to the millisecond.
func stamp(m Micros) string { return strconv.FormatFloat(m.Seconds(), 'f', -1, 64) + "s" }

func span(s string) (Micros, bool) {
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
		l, err := ParseLine(row)
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

// ParseLine reads one line.
func ParseLine(row string) (Line, error) {
	bad := func(why string) (Line, error) { return Line{}, fmt.Errorf("%w: %q: %s", ErrLine, row, why) }
	words := strings.Fields(row)
	at, ok := span(words[0])
	if !ok || at < 0 {
		return bad("no time")
	}
	words = words[1:]
	l := Line{At: at}
	lasts, sized := false, false
	if n := len(words); n > 2 && words[n-2] == "for" {
		if l.Span, ok = span(words[n-1]); !ok {
			return bad("no span")
		}
		words, lasts = words[:n-2], true
	}
	if n := len(words); n > 1 && words[n-1][0] == 'x' {
		if x, err := strconv.ParseFloat(words[n-1][1:], 64); err == nil {
			l.Size, sized = x, true
			words = words[:n-1]
		}
	}
	for v := range verbs {
		names, mood, ok := match(strings.Fields(forms[v]), words)
		if !ok {
			continue
		}
		if v.Lasts() != lasts || v.Sized() != sized {
			return bad("span or size too many, or missing")
		}
		if l.Span < 0 && v != Leaps || !(l.Size >= 0 && l.Size <= 1e6) {
			return bad("out of bounds")
		}
		l.Do, l.Names, l.Mood = v, names, mood
		return l, nil
	}
	return bad("unknown")
}

func match(form, words []string) (names []string, mood string, ok bool) {
	if len(form) != len(words) {
		return nil, "", false
	}
	for i, f := range form {
		switch {
		case f == "*":
			names = append(names, words[i])
		case f == "+" && slices.Contains(Moods[:], words[i]):
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
