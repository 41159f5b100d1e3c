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

// faultsLog prints the run of one seed: a line for each fault that begins or ends, and for each log entry of a
// router. It implements system.RunLog.
type faultsLog struct {
	out      io.Writer
	requests bool          // print the log entries of requests
	active   []activeFault // sorted by their ends
}

// activeFault is a fault whose end has not been printed.
type activeFault struct {
	line   faults.Line
	endsAt system.Micros
}

// printScript prints a script.
func (l *faultsLog) printScript(text string) { _, _ = fmt.Fprintln(l.out, text) }

// Fault prints that a fault begins, or that it is skipped. It adds a fault that has begun to active, if it ends
// after its span.
func (l *faultsLog) Fault(at system.Micros, line faults.Line, applied bool) {
	l.endFaults(at)
	if !applied {
		l.printFault(at, "fault skipped", line)
		return
	}
	l.printFault(at, "fault began", line)
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

// End prints the ends of the faults that were still active.
func (l *faultsLog) End(at system.Micros) { l.endFaults(at) }

// endsAfterSpan reports whether faults of a kind end one span after they begin. A shutdown does not: its span
// begins when the process has ended.
func endsAfterSpan(kind faults.Kind) bool { return kind.HasSpan() && kind != faults.Shutdown }

// endFaults prints the ends of the active faults whose spans are over. It is called with each line to print, not
// by an event of the simulation, so that the run is the same with and without a log.
func (l *faultsLog) endFaults(now system.Micros) {
	for len(l.active) > 0 && l.active[0].endsAt <= now {
		l.printFault(l.active[0].endsAt, "fault ended", l.active[0].line)
		l.active = l.active[1:]
	}
}

// printFault prints a line about a fault, with the fault's line of the script.
func (l *faultsLog) printFault(at system.Micros, message string, line faults.Line) {
	l.print(at, "script", message, map[string]any{"line": line.String()})
}

// Entry prints a router's log entry. Entries of requests are skipped unless requests is set.
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

// formatField formats a field's value. It quotes an empty value and a value with a space, an equals sign, a quote
// or a character that must be escaped.
func formatField(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"") || strconv.Quote(text) != `"`+text+`"` {
		return strconv.Quote(text)
	}
	return text
}
