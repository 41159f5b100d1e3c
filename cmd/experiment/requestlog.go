package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"
)

// maxLogLine is the length of the longest log line that can be read, in bytes.
const maxLogLine = 1 << 20

// requestHistory is what the logs say about one request.
type requestHistory struct {
	id, class          string
	outcome            string  // empty: no answer
	arrivedAt          float64 // seconds since the start of the run
	priorityWeight     float64
	lateWeight         float64 // share of priorityWeight that a late answer still earns
	latencyObjectiveUs int64
	answeredAfterUs    int64
	attempts           int
	lastAttempt        string // outcome and cache status of the attempt that ended last
}

// attemptEnd is the end of one attempt.
type attemptEnd struct {
	endedAt float64 // seconds since the start of the run
	outcome string  // outcome and cache status
}

// requestLog collects the requests and the ends of attempts from the routers' logs.
type requestLog struct {
	requests map[string]*requestHistory // by path of the log and request id, joined
	attempts []attemptEnd
}

func newRequestLog() *requestLog { return &requestLog{requests: map[string]*requestHistory{}} }

// eachRequestLine calls a function with each line of a log whose message is about a request.
func eachRequestLine(path string, call func(line string)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file was only read
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `msg="request `) {
			call(lines.Text())
		}
	}
	return lines.Err()
}

// printRequest prints the lines of one request from all logs.
func printRequest(files []string, id string) error {
	for _, file := range files {
		err := eachRequestLine(file, func(line string) {
			if strings.Contains(line, "id="+id) {
				fmt.Printf("%s %s\n", filepath.Base(file), line)
			}
		})
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

// readFile adds the lines of one router's log. The simulator writes the seconds since the start of the run before
// each line; in logs without them all requests fall into one part. Lines that can't be parsed are skipped.
func (l *requestLog) readFile(path string) error {
	return eachRequestLine(path, func(line string) {
		first, _, _ := strings.Cut(line, " ")
		seconds, _ := strconv.ParseFloat(first, 64)
		fields, err := parseFields(line)
		if err == nil { // the log of a killed router may end in the middle of a line
			l.add(path, seconds, fields)
		}
	})
}

// logFields are the fields of a log line, by key. Numbers that are missing or malformed are read as 0.
type logFields map[string]string

// parseFields parses a line in the logfmt format.
func parseFields(line string) (logFields, error) {
	fields := logFields{}
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields, decoder.Err()
}

func (f logFields) integer(key string) int64 {
	n, _ := strconv.ParseInt(f[key], 10, 64)
	return n
}

func (f logFields) float(key string) float64 {
	x, _ := strconv.ParseFloat(f[key], 64)
	return x
}

// add adds a parsed line. It skips lines of requests whose arrival is not in the log.
func (l *requestLog) add(path string, seconds float64, fields logFields) {
	key := path + fields["id"]
	if fields["msg"] == "request arrived" {
		l.requests[key] = newRequestHistory(seconds, fields)
		return
	}
	request := l.requests[key]
	if request == nil {
		return
	}
	switch fields["msg"] {
	case "request forwarded":
		request.attempts++
	case "request attempt ended":
		request.lastAttempt = fmt.Sprintf("%s (%s)", fields["outcome"], fields["cache_status"])
		l.attempts = append(l.attempts, attemptEnd{endedAt: seconds, outcome: request.lastAttempt})
	case "request finished":
		request.outcome = fields["outcome"]
		request.answeredAfterUs = fields.integer("after_us")
	}
}

func newRequestHistory(seconds float64, fields logFields) *requestHistory {
	return &requestHistory{
		id:                 fields["id"],
		class:              fields["class"],
		arrivedAt:          seconds,
		priorityWeight:     fields.float("priority_weight"),
		lateWeight:         fields.float("late_weight"),
		latencyObjectiveUs: fields.integer("latency_objective_us"),
	}
}

// Ends of requests in results. The other ends are made up of the outcomes of the request and its last attempt.
const (
	endInTime   = "in time"
	endLate     = "late"
	endNoAnswer = "no answer"
)

// end describes how a request ended, and returns the weight that it lost.
func (r *requestHistory) end() (end string, lostWeight float64) {
	switch {
	case r.outcome == "answered" && r.answeredAfterUs <= r.latencyObjectiveUs:
		return endInTime, 0
	case r.outcome == "answered":
		return endLate, r.priorityWeight * (1 - r.lateWeight)
	case r.outcome == "":
		return endNoAnswer, r.priorityWeight
	case r.attempts == 0:
		return r.outcome + ", never sent", r.priorityWeight
	}
	return r.outcome + " after " + r.lastAttempt, r.priorityWeight
}
