package bed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"threadrun/internal/testserver"
)

// readyLimit is how long a router may take to be ready.
const readyLimit = 30 * time.Second

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// Router is a process of the router, started with the command of the deploy file.
type Router struct {
	Address string
	name    string
	command *exec.Cmd
	logPath string
	exited  chan struct{} // closed when the process has exited
}

// StartRouter starts a router with the given content of its deployment's file, and returns when it is ready.
func (b *Bed) StartRouter(name, address, configuration string) (*Router, error) {
	deployFile, err := os.ReadFile(filepath.Join(b.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deployFile)
	if run == nil {
		return nil, fmt.Errorf("the deploy file has no line 'run'")
	}
	configPath := filepath.Join(b.Dir, name+".json")
	if err := os.WriteFile(configPath, []byte(configuration), 0o600); err != nil {
		return nil, err
	}
	r := &Router{Address: address, name: name, logPath: filepath.Join(b.Dir, name+".log"), exited: make(chan struct{})}
	logFile, err := os.Create(r.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	r.command = exec.Command("/bin/sh", "-c", string(run[1]))
	r.command.Dir = b.root
	r.command.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "RELAY_NAME="+name, "RELAY_LISTEN="+address)
	r.command.Stdout, r.command.Stderr = logFile, logFile
	r.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.routers = append(b.routers, r)
	b.mu.Unlock()
	go func() {
		_ = r.command.Wait()
		close(r.exited)
	}()
	if err := Await("router "+name+" is ready", readyLimit, r.ready); err != nil {
		return nil, err
	}
	b.Logf("router %s is ready at %s, process %d", name, address, r.command.Process.Pid)
	return r, nil
}

// ready reports whether the router answers a probe with true.
func (r *Router) ready() bool {
	const answerLimit = 500 * time.Millisecond
	client, err := testserver.Connect(r.Address)
	if err != nil {
		return false
	}
	defer client.Close()
	_, answers := client.Send("probe", nil, nil)
	select {
	case answer := <-answers:
		return answer.Ready
	case <-time.After(answerLimit):
		return false
	}
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// PID returns the id of the process.
func (r *Router) PID() int { return r.command.Process.Pid }

// Exited reports whether the process has exited.
func (r *Router) Exited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// Kill kills the process and all that it started, and waits for its end.
func (r *Router) Kill() {
	if !r.Exited() {
		_ = syscall.Kill(-r.command.Process.Pid, syscall.SIGKILL)
	}
	<-r.exited
}
