// Package bed runs one case of the review: it starts the project's own programs as separate processes, with the
// command of the deploy file, and writes what happened to the case's record.
package bed

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"threadrun/internal/testserver"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// timeLimit ends a case that hangs. A case may run for 120 seconds.
const timeLimit = 110 * time.Second

// Bed is a running case. Its methods may be called from any goroutine.
type Bed struct {
	Trouble bool   // false: everything is done without the disruption
	Folder  string // the case's folder
	Dir     string // temporary folder, removed at the end

	root      string // the repository
	startedAt time.Time
	mu        sync.Mutex // guards the fields below
	record    *os.File
	broken    int // number of times that the rule was broken
	routers   []*Router
	ended     bool
}

// Main runs a case in the folder that the first argument names, and exits with the code of its result. The variable
// TROUBLE=0 turns the disruption off.
func Main(run func(*Bed) error) {
	b, err := open()
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			b.end(fmt.Errorf("ended by %v", s))
		case <-time.After(timeLimit):
			b.end(errors.New("the time limit has passed"))
		}
	}()
	b.end(run(b))
}

func open() (*Bed, error) {
	if len(os.Args) != 2 {
		return nil, errors.New("the case's folder must be the only argument")
	}
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &Bed{
		Trouble:   os.Getenv("TROUBLE") != "0",
		Folder:    folder,
		Dir:       dir,
		root:      filepath.Dir(filepath.Dir(folder)),
		startedAt: time.Now(),
		record:    record,
	}
	b.Logf("begin at %s, disruption %v", b.startedAt.Format(time.RFC3339), b.Trouble)
	return b, nil
}

// end ends all processes, writes the result and exits.
func (b *Bed) end(err error) {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		select {} // another goroutine is about to exit
	}
	b.ended = true
	routers, broken := b.routers, b.broken
	b.mu.Unlock()
	for _, r := range routers {
		r.Kill()
		b.appendLog(r)
	}
	_ = os.RemoveAll(b.Dir)
	code, result := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, result = exitNotRun, "the case could not run: "+err.Error()
	case broken > 0:
		code, result = exitBroken, fmt.Sprintf("the rule was broken %d times", broken)
	}
	b.Logf("end: %s", result)
	fmt.Println(result)
	os.Exit(code)
}

// appendLog copies the last lines of a router's log to the record.
func (b *Bed) appendLog(r *Router) {
	const maxLines = 40
	text, err := os.ReadFile(r.logPath)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	lines = lines[max(0, len(lines)-maxLines):]
	b.Logf("last lines of the log of router %s:\n    %s", r.name, strings.Join(lines, "\n    "))
}

// Logf writes a line to the record, with the time since the start in milliseconds.
func (b *Bed) Logf(format string, arguments ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	milliseconds := float64(time.Since(b.startedAt).Microseconds()) / 1000
	_, _ = fmt.Fprintf(b.record, "%10.1f ms  %s\n", milliseconds, fmt.Sprintf(format, arguments...))
}

// Broken records that the rule was broken.
func (b *Bed) Broken(format string, arguments ...any) {
	b.Logf("RULE BROKEN: "+format, arguments...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken++
}

// Configuration returns the deployment's file of a router: the file with the given name in the case's folder, with the
// addresses and the first events of discovery filled in.
func (b *Bed) Configuration(file, listen, discovery, events string) (string, error) {
	text, err := os.ReadFile(filepath.Join(b.Folder, file))
	if err != nil {
		return "", err
	}
	return strings.NewReplacer("@LISTEN@", listen, "@DISCOVERY@", discovery, "@KNOWN@", events).Replace(string(text)), nil
}

// Await polls until condition holds, and returns an error that says what did not happen if it does not hold in time.
func Await(what string, limit time.Duration, condition func() bool) error {
	const interval = 5 * time.Millisecond
	for end := time.Now().Add(limit); !condition(); time.Sleep(interval) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
	}
	return nil
}

// Summary describes an answer for the record.
func Summary(a *testserver.Answer) string {
	switch {
	case a == nil:
		return "no answer"
	case a.Error != "":
		return fmt.Sprintf("error %s %v", a.Error, a.Fields)
	}
	return fmt.Sprintf("served, %d bytes, %v", len(a.Body), a.Fields)
}
