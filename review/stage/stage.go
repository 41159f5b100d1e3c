// Package stage holds what the cases 6 to 10 of the review share: the router as a process, a cache whose answers a case
// scripts, and the record of a run.
package stage

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
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
	held      = 0
	broken    = 1
	couldNot  = 2
	runPrefix = "run = "
)

// Stage is one run of a case.
type Stage struct {
	Trouble bool   // the disruption is played; TROUBLE=0 leaves it out
	Root    string // root of the repository
	Dir     string // temporary folder

	ending sync.Mutex
	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	start  time.Time
	router []*Router
}

// Play runs a case and ends the process: with 1 if broken is not empty, with 0 if it is, and with 2 after an error.
// folder is the case's folder below review.
func Play(folder string, play func(*Stage) (brokenRule string, err error)) {
	s, err := open(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(couldNot)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s.end("", fmt.Errorf("ended by a signal: %v", <-signals))
	}()
	s.end(play(s))
}

// end ends all routers, completes the record and ends the process.
func (s *Stage) end(rule string, err error) {
	s.ending.Lock() // never unlocked: only the first call ends the process
	for _, r := range s.router {
		r.kill()
	}
	code := held
	switch {
	case err != nil:
		code = couldNot
		s.Note("the case couldn't run: %v", err)
	case rule != "":
		code = broken
		s.Note("BROKEN: %s", rule)
	default:
		s.Note("held")
	}
	s.mu.Lock()
	_ = s.record.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.Dir)
	os.Exit(code)
}

func open(folder string) (*Stage, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "deploy", "balancer.toml")); err != nil {
		return nil, fmt.Errorf("start the case from the repository's root: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(root, "review", folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &Stage{
		Trouble: os.Getenv("TROUBLE") != "0",
		Root:    root,
		Dir:     dir,
		record:  bufio.NewWriter(file),
		file:    file,
		start:   time.Now(),
	}
	s.Note("disruption: %v", s.Trouble)
	return s, nil
}

// Note writes a line to the record.
func (s *Stage) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.4f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// Router is a router process.
type Router struct {
	stage   *Stage
	Address string
	command *exec.Cmd
	log     *os.File
	config  string
	ended   chan struct{} // closed when the process has ended
}

// StartRouter starts a router by the command of the deploy file, and waits until it answers a probe with true.
// configuration returns the configuration for a listen address.
func (s *Stage) StartRouter(configuration func(listen string) string, env ...string) (*Router, error) {
	listen, err := testserver.FreeTCP()
	if err != nil {
		return nil, err
	}
	r := &Router{stage: s, Address: listen, ended: make(chan struct{})}
	r.config = filepath.Join(s.Dir, fmt.Sprintf("config-%d.json", len(s.router)))
	if err := r.Configure(configuration(listen)); err != nil {
		return nil, err
	}
	run, err := s.runCommand()
	if err != nil {
		return nil, err
	}
	r.log, err = os.Create(filepath.Join(s.Dir, fmt.Sprintf("router-%d.log", len(s.router))))
	if err != nil {
		return nil, err
	}
	r.command = exec.Command("/bin/sh", "-c", run)
	r.command.Dir = s.Root
	r.command.Env = append(append(os.Environ(), "RELAY_CONFIG="+r.config), env...)
	r.command.Stdout, r.command.Stderr = r.log, r.log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	s.router = append(s.router, r)
	go func() {
		_ = r.command.Wait()
		close(r.ended)
	}()
	return r, r.waitReady()
}

// runCommand reads the command that starts a router from the deploy file.
func (s *Stage) runCommand() (string, error) {
	b, err := os.ReadFile(filepath.Join(s.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, runPrefix); ok {
			return strings.Trim(rest, `"`), nil
		}
	}
	return "", errors.New("no run line in the deploy file")
}

// Configure replaces the router's configuration file.
func (r *Router) Configure(configuration string) error {
	return os.WriteFile(r.config, []byte(configuration), 0o600)
}

const readyTimeout = 20 * time.Second

func (r *Router) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c, err := testserver.Connect(r.Address)
		if err != nil {
			continue
		}
		_, answer := c.Send("probe", nil, nil)
		select {
		case a := <-answer:
			c.Close()
			if a.Ready {
				return nil
			}
		case <-c.Closed():
		case <-time.After(time.Second):
			c.Close()
		}
	}
	return errors.New("the router did not become ready")
}

// Signal sends a signal to the router.
func (r *Router) Signal(signal syscall.Signal) { _ = r.command.Process.Signal(signal) }

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and copies the last lines of its log to the record.
func (r *Router) kill() {
	r.Signal(syscall.SIGKILL)
	<-r.ended
	const lastLines = 15
	b, _ := os.ReadFile(r.log.Name())
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	for _, line := range lines[max(len(lines)-lastLines, 0):] {
		r.stage.Note("router's log: %s", line)
	}
}

// Pid returns the id of the router's process.
func (r *Router) Pid() int { return r.command.Process.Pid }
