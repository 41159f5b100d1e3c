package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"threadrun/internal/testserver"
	"threadrun/simulation/invariants"
)

const (
	killAfter    = 3700 * time.Millisecond // after SIGTERM: the longest timeout, 3 s at least, and 0.7 s
	readyTimeout = 10 * time.Second
	readyPoll    = 10 * time.Millisecond
	downTime     = 200 * time.Millisecond // between the end of a process and the start of the next one
)

// router is a router's process, across its restarts at one address.
type router struct {
	run          *run
	number       int
	address      string
	configPath   string
	operatorPath string
	busy         sync.Mutex // held while the process is ended and started, or paused

	mu          sync.Mutex // guards the fields below
	process     *testserver.Process
	incarnation int
	crashed     map[int]bool // incarnations that were killed by the script
	logs        []string     // paths
}

// current returns the number of the process that runs now.
func (r *router) current() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// wasCrashed reports whether a process was killed by the script.
func (r *router) wasCrashed(incarnation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed[incarnation]
}

// start starts the next process and waits until it is ready.
func (r *router) start() {
	began := time.Now()
	p, err := testserver.StartProcess(r.run.Command, r.run.Environment, r.address, r.configPath, r.operatorPath,
		fmt.Sprintf("%s/router-%d-%d.log", r.run.dir, r.number, r.current()+1))
	if err != nil {
		r.run.recorder.problem("router %d did not start: %v", r.number, err)
		return
	}
	r.mu.Lock()
	r.process = p
	r.incarnation++
	r.logs = append(r.logs, p.LogPath)
	r.mu.Unlock()
	for !r.ready() {
		if time.Since(began) > readyTimeout {
			r.run.recorder.problem("router %d was not ready within %s", r.number, readyTimeout)
			return
		}
		time.Sleep(readyPoll)
	}
	r.run.started(time.Since(began))
}

// ready asks the process whether it is ready.
func (r *router) ready() bool {
	c, err := testserver.Connect(r.address)
	if err != nil {
		return false
	}
	defer c.Close()
	_, answers := c.Send("probe", nil, nil)
	select {
	case a := <-answers:
		return a.Ready
	case <-time.After(time.Second):
		return false
	}
}

// terminate tells the process to end, kills it at the earliest time that the operators' pages allow, and starts the
// next one.
func (r *router) terminate() {
	r.busy.Lock()
	defer r.busy.Unlock()
	began := time.Now()
	_ = r.process.Process.Signal(syscall.SIGTERM)
	_ = r.process.Process.Signal(syscall.SIGHUP)
	_ = r.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killAfter, func() { _ = r.process.Process.Kill() })
	err := r.process.Wait()
	if !kill.Stop() || err != nil {
		r.run.recorder.problem("router %d did not end by itself: %v", r.number, err)
	}
	r.run.ended(time.Since(began))
	r.next()
}

// crash kills the process and starts the next one.
func (r *router) crash() {
	r.busy.Lock()
	defer r.busy.Unlock()
	r.mu.Lock()
	r.crashed[r.incarnation] = true
	r.mu.Unlock()
	r.process.Kill()
	r.next()
}

func (r *router) next() {
	r.run.recorder.observe(invariants.Event{Kind: invariants.RouterDied, Router: invariants.RouterID(r.number)})
	time.Sleep(downTime)
	r.start()
}

// pause stops the process for a span.
func (r *router) pause(span time.Duration) {
	r.busy.Lock()
	defer r.busy.Unlock()
	id := invariants.RouterID(r.number)
	r.run.recorder.observe(invariants.Event{Kind: invariants.RouterPaused, Router: id})
	_ = r.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	_ = r.process.Process.Signal(syscall.SIGCONT)
	r.run.recorder.observe(invariants.Event{Kind: invariants.RouterResumed, Router: id})
}

// reload writes another configuration and sends SIGHUP. The text is empty for the same one.
func (r *router) reload(text string) {
	r.busy.Lock()
	defer r.busy.Unlock()
	before, err := os.ReadFile(r.configPath)
	if err != nil {
		r.run.recorder.problem("router %d: %v", r.number, err)
		return
	}
	if text != "" {
		_ = os.WriteFile(r.configPath, []byte(text), 0o600)
	}
	_ = r.process.Process.Signal(syscall.SIGHUP)
	time.Sleep(reloadTime)
	_ = os.WriteFile(r.configPath, before, 0o600)
}

const reloadTime = 100 * time.Millisecond // for the router to read the file

// usage returns the resident memory of the process in KB and its number of descriptors.
func (r *router) usage() (kb, descriptors int) {
	r.mu.Lock()
	pid := r.process.Process.Pid
	r.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ = strconv.Atoi(fields[1])
		}
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return kb, len(entries)
}

// checkLogs reports panics.
func (r *router) checkLogs() {
	for _, path := range r.logs {
		text, err := os.ReadFile(path)
		if err != nil || bytes.Contains(text, []byte("panic")) {
			r.run.recorder.problem("router %d: a panic in its log, or no log: %v", r.number, err)
		}
	}
}
