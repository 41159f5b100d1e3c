package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"threadrun/simulation/faults"
	"threadrun/simulation/system"
)

// faultsLog prints the run of one seed: a line for each fault that begins or ends, and for each log entry of a router.
// It implements system.RunLog.
type faultsLog struct {
	out      io.Writer
	requests bool          // print the log entries of requests
	active   []activeFault // sorted by their ends
}

// activeFault is a fault whose span is not over.
type activeFault struct {
	line   faults.Line
	endsAt system.Micros
}

// script prints a script.
func (l *faultsLog) script(text string) { _, _ = fmt.Fprintln(l.out, text) }

// Fault prints that a fault begins, or that it is skipped.
func (l *faultsLog) Fault(at system.Micros, line faults.Line, applied bool) {
	l.endFaults(at)
	if !applied {
		l.faultLine(at, "fault skipped", line)
		return
	}
	l.faultLine(at, "fault began", line)
	if !endsAfterSpan(line.Kind) {
		return
	}
	active := activeFault{line, at + max(line.Span, -line.Span)}
	i := 0
	for i < len(l.active) && l.active[i].endsAt <= active.endsAt {
		i++
	}
	l.active = slices.Insert(l.active, i, active)
}

// End prints the ends of the last faults.
func (l *faultsLog) End(at system.Micros) { l.endFaults(at) }

// endsAfterSpan reports whether a fault ends a span after its beginning. The span of a shutdown begins when the process
// has ended.
func endsAfterSpan(kind faults.Kind) bool { return kind.HasSpan() && kind != faults.Shutdown }

// endFaults prints the ends of the spans that are over. They are not events of the simulation: its history is the same
// with and without a log.
func (l *faultsLog) endFaults(now system.Micros) {
	for len(l.active) > 0 && l.active[0].endsAt <= now {
		l.faultLine(l.active[0].endsAt, "fault ended", l.active[0].line)
		l.active = l.active[1:]
	}
}

func (l *faultsLog) faultLine(at system.Micros, message string, line faults.Line) {
	l.print(at, "script", message, map[string]any{"line": line.String()})
}

// Entry prints a log entry.
func (l *faultsLog) Entry(e system.LogEntry) {
	l.endFaults(e.At)
	if !e.OfRequest || l.requests {
		l.print(e.At, fmt.Sprintf("router-%d", e.Router), e.Message, e.Fields)
	}
}

// print prints one line: time, source, message, and fields sorted by their keys.
func (l *faultsLog) print(at system.Micros, source, message string, fields map[string]any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s %s", at.Seconds(), source, strings.ReplaceAll(message, "\n", " "))
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&b, " %s=%s", key, formatField(fields[key]))
	}
	_, _ = fmt.Fprintln(l.out, b.String())
}

// formatField formats a field's value, quoted if it could be taken for several words.
func formatField(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"") || strconv.Quote(text) != `"`+text+`"` {
		return strconv.Quote(text)
	}
	return text
}
