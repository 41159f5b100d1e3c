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

// ErrSyntax is the error of a line that can't be parsed.
var ErrSyntax = errors.New("faults: unreadable line")

const (
	maxSeconds   = 1e6 // of a time or a span
	maxMagnitude = 1e6
)

// Line is one fault of a script.
type Line struct {
	At        Micros
	Kind      Kind
	Targets   []string // names; as many as the kind's syntax has
	Variant   string   // of Reset
	Magnitude float64
	Span      Micros
}

// Script is a list of faults, sorted by time.
type Script []Line

// String formats a script as Parse reads it.
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
	targets := l.Targets
	for _, word := range strings.Fields(specs[l.Kind].syntax) {
		switch word {
		case syntaxTarget:
			word = targets[0]
			targets = targets[1:]
		case syntaxVariant:
			word = l.Variant
		}
		words = append(words, word)
	}
	if l.Kind.HasMagnitude() {
		words = append(words, "x"+strconv.FormatFloat(l.Magnitude, 'g', -1, 64))
	}
	if l.Kind.HasSpan() {
		words = append(words, "for", formatSeconds(l.Span))
	}
	return strings.Join(words, " ")
}

// Parse parses a script. Its error wraps ErrSyntax and names the line.
func Parse(text string) (Script, error) {
	var s Script
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		l, err := parseLine(line)
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

// parseLine parses one line, which must not be empty.
func parseLine(text string) (Line, error) {
	unreadable := func(why string) (Line, error) { return Line{}, fmt.Errorf("%w: %q: %s", ErrSyntax, text, why) }
	words := strings.Fields(text)
	at, ok := parseSeconds(words[0])
	if !ok || at < 0 {
		return unreadable("no time")
	}
	l := Line{At: at}
	words, hasSpan, ok := l.parseSpan(words[1:])
	if !ok {
		return unreadable("no span")
	}
	words, hasMagnitude := l.parseMagnitude(words)
	for k := range kinds {
		l.Kind = k
		l.Targets, l.Variant, ok = k.match(words)
		switch {
		case !ok:
			continue
		case k.HasSpan() != hasSpan || k.HasMagnitude() != hasMagnitude:
			return unreadable("missing or unexpected span or magnitude")
		case !l.inBounds():
			return unreadable("out of bounds")
		}
		return l, nil
	}
	return unreadable("unknown kind")
}

// parseSpan removes a span from the end of a line's words, if there is one. ok is false if it can't be parsed.
func (l *Line) parseSpan(words []string) (rest []string, found, ok bool) {
	n := len(words)
	if n <= 2 || words[n-2] != "for" {
		return words, false, true
	}
	l.Span, ok = parseSeconds(words[n-1])
	return words[:n-2], true, ok
}

// parseMagnitude removes a magnitude from the end of a line's words, if there is one.
func (l *Line) parseMagnitude(words []string) (rest []string, found bool) {
	n := len(words)
	if n <= 1 || words[n-1][0] != 'x' {
		return words, false
	}
	magnitude, err := strconv.ParseFloat(words[n-1][1:], 64)
	if err != nil {
		return words, false
	}
	l.Magnitude = magnitude
	return words[:n-1], true
}

// inBounds returns false also for a magnitude that is not a number.
func (l *Line) inBounds() bool {
	return (l.Span >= 0 || l.Kind == ClockJump) && l.Magnitude >= 0 && l.Magnitude <= maxMagnitude
}

// formatSeconds formats a time or a span in seconds.
func formatSeconds(m Micros) string { return strconv.FormatFloat(m.Seconds(), 'f', -1, 64) + "s" }

// parseSeconds parses a time or a span, and rounds it to milliseconds.
func parseSeconds(text string) (Micros, bool) {
	text, ok := strings.CutSuffix(text, "s")
	seconds, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil || seconds < -maxSeconds || seconds > maxSeconds {
		return 0, false
	}
	millis := seconds * 1000
	if millis < 0 {
		millis--
	}
	return Micros(millis+0.5) * clock.Millisecond, true
}
