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
	killAfter         = 3700 * time.Millisecond // from SIGTERM on: the longest timeout, but at least 3 s, plus 0.7 s
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	restartDelay      = 200 * time.Millisecond // between the end of a process and the start of the next one
)

// router is a router under test. Its process is restarted at the same address, with the same files.
type router struct {
	run          *run
	number       int
	address      string
	configPath   string
	operatorPath string
	lifecycle    sync.Mutex // held while the process is restarted, paused or reloaded

	mu          sync.Mutex // guards the fields below
	process     *testserver.Process
	incarnation int          // number of processes started so far
	crashed     map[int]bool // incarnations that the script killed with SIGKILL
	logs        []string     // paths of the log files, one for each process
}

// currentIncarnation returns the incarnation of the process started last.
func (r *router) currentIncarnation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// wasCrashed reports whether the script killed a process with SIGKILL.
func (r *router) wasCrashed(incarnation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed[incarnation]
}

// start starts the next process and waits until it is ready. A process that does not start, or is not ready within
// readyTimeout, is recorded as a problem.
func (r *router) start() {
	began := time.Now()
	p, err := testserver.StartProcess(r.run.Command, r.run.Environment, r.address, r.configPath, r.operatorPath,
		fmt.Sprintf("%s/router-%d-%d.log", r.run.dir, r.number, r.currentIncarnation()+1))
	if err != nil {
		r.run.recorder.addProblem("router %d did not start: %v", r.number, err)
		return
	}
	r.mu.Lock()
	r.process = p
	r.incarnation++
	r.logs = append(r.logs, p.LogPath)
	r.mu.Unlock()
	for !r.ready() {
		if time.Since(began) > readyTimeout {
			r.run.recorder.addProblem("router %d was not ready within %s", r.number, readyTimeout)
			return
		}
		time.Sleep(readyPollInterval)
	}
	r.run.recordReady(time.Since(began))
}

// ready reports whether the process accepts a connection and answers a probe that it is ready.
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

// terminate shuts the process down with SIGTERM and starts the next one. A SIGHUP and a second SIGTERM follow at
// once and must not disturb the shutdown. The process is killed after killAfter, the earliest time that the
// operators' pages allow; that, or an exit with an error, is recorded as a problem.
func (r *router) terminate() {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	began := time.Now()
	_ = r.process.Process.Signal(syscall.SIGTERM)
	_ = r.process.Process.Signal(syscall.SIGHUP)
	_ = r.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killAfter, func() { _ = r.process.Process.Kill() })
	err := r.process.Wait()
	if !kill.Stop() || err != nil {
		r.run.recorder.addProblem("router %d did not shut down in time, or exited with an error: %v", r.number, err)
	}
	r.run.recordShutdown(time.Since(began))
	r.recordEndAndRestart()
}

// crash kills the process with SIGKILL and starts the next one.
func (r *router) crash() {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	r.mu.Lock()
	r.crashed[r.incarnation] = true
	r.mu.Unlock()
	r.process.Kill()
	r.recordEndAndRestart()
}

// recordEndAndRestart records the end of the process, and starts the next one after restartDelay.
func (r *router) recordEndAndRestart() {
	r.run.recorder.observe(invariants.Event{Kind: invariants.RouterDied, Router: invariants.RouterID(r.number)})
	time.Sleep(restartDelay)
	r.start()
}

// pause suspends the process for a span.
func (r *router) pause(span time.Duration) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	id := invariants.RouterID(r.number)
	r.run.recorder.observe(invariants.Event{Kind: invariants.RouterPaused, Router: id})
	_ = r.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	_ = r.process.Process.Signal(syscall.SIGCONT)
	r.run.recorder.observe(invariants.Event{Kind: invariants.RouterResumed, Router: id})
}

// reload writes a deployment file, sends SIGHUP, and restores the previous file. If text is empty, the file
// stays as it is.
func (r *router) reload(text string) {
	r.lifecycle.Lock()
	defer r.lifecycle.Unlock()
	before, err := os.ReadFile(r.configPath)
	if err != nil {
		r.run.recorder.addProblem("router %d: read the deployment file: %v", r.number, err)
		return
	}
	if text != "" {
		_ = os.WriteFile(r.configPath, []byte(text), 0o600)
	}
	_ = r.process.Process.Signal(syscall.SIGHUP)
	time.Sleep(reloadWait)
	_ = os.WriteFile(r.configPath, before, 0o600)
}

const reloadWait = 100 * time.Millisecond // within which the router reads the file

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

// checkLogs records a problem for each log that contains "panic" or can't be read.
func (r *router) checkLogs() {
	for _, path := range r.logs {
		text, err := os.ReadFile(path)
		if err != nil || bytes.Contains(text, []byte("panic")) {
			r.run.recorder.addProblem("router %d: a panic in its log, or the log can't be read: %v", r.number, err)
		}
	}
}
