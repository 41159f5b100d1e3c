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
var ErrSyntax = errors.New("faults: syntax error")

const (
	maxSeconds   = 1e6 // longest time or span
	maxMagnitude = 1e6
)

// Line is one fault of a script.
type Line struct {
	At        Micros // since the start of the run
	Kind      Kind
	Targets   []string // names, as many as the kind's syntax has placeholders
	Variant   string   // one of ResetVariants, only of Reset
	Magnitude float64  // 0 unless Kind.HasMagnitude
	Span      Micros   // 0 unless Kind.HasSpan; only that of ClockJump may be negative
}

// Script is a list of faults, sorted by time.
type Script []Line

// String formats a script as text that Parse accepts.
func (s Script) String() string {
	var b strings.Builder
	for _, l := range s {
		b.WriteString(l.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// String formats a line as it is written in a script.
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

// Parse parses a script and sorts its lines by time. Its error wraps ErrSyntax and contains the number of the line.
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

// sort sorts the lines by time. Lines of the same time keep their order.
func (s Script) sort() {
	slices.SortStableFunc(s, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}

// parseLine parses one line, which must not be empty.
func parseLine(text string) (Line, error) {
	syntaxError := func(reason string) (Line, error) { return Line{}, fmt.Errorf("%w: %q: %s", ErrSyntax, text, reason) }
	words := strings.Fields(text)
	at, ok := parseSeconds(words[0])
	if !ok || at < 0 {
		return syntaxError("the line must begin with a time in seconds, such as 12.5s")
	}
	l := Line{At: at}
	words, hasSpan, ok := l.cutSpan(words[1:])
	if !ok {
		return syntaxError("\"for\" must be followed by a span in seconds, such as 5s")
	}
	words, hasMagnitude := l.cutMagnitude(words)
	for k := range numKinds {
		l.Kind = k
		l.Targets, l.Variant, ok = k.match(words)
		switch {
		case !ok:
			continue
		case k.HasSpan() != hasSpan || k.HasMagnitude() != hasMagnitude:
			return syntaxError("missing or unexpected span or magnitude")
		case !l.inBounds():
			return syntaxError("the span or the magnitude is out of bounds")
		}
		return l, nil
	}
	return syntaxError("unknown kind of fault")
}

// cutSpan removes a span from the end of a line's words, if there is one, and sets l.Span. ok is false if the span
// can't be parsed.
func (l *Line) cutSpan(words []string) (rest []string, found, ok bool) {
	n := len(words)
	if n <= 2 || words[n-2] != "for" {
		return words, false, true
	}
	l.Span, ok = parseSeconds(words[n-1])
	return words[:n-2], true, ok
}

// cutMagnitude removes a magnitude from the end of a line's words, if there is one, and sets l.Magnitude.
func (l *Line) cutMagnitude(words []string) (rest []string, found bool) {
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

// inBounds reports whether the span and the magnitude are allowed. It is false for a magnitude of NaN.
func (l *Line) inBounds() bool {
	return (l.Span >= 0 || l.Kind == ClockJump) && l.Magnitude >= 0 && l.Magnitude <= maxMagnitude
}

// formatSeconds formats a time or a span in seconds.
func formatSeconds(m Micros) string { return strconv.FormatFloat(m.Seconds(), 'f', -1, 64) + "s" }

// parseSeconds parses a time or a span and rounds it to milliseconds. It fails for values beyond maxSeconds.
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
