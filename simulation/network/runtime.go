package network

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

var errAddressInUse = errors.New("address in use")

// Runtime is the environment of one process on a host. It implements transport.Runtime.
type Runtime struct {
	host        *Host
	incarnation int
}

// Now returns the monotonic time. Unlike WallTime, it is the same on all hosts.
func (r *Runtime) Now() time.Time { return Epoch.Add(r.host.world.now.Duration()) }

// WallTime returns the time of the host's wall clock, which deviates from the virtual time by Host.ClockSkew.
func (r *Runtime) WallTime() time.Time {
	return Epoch.Add((r.host.world.now + r.host.ClockSkew).Duration())
}

// Listen accepts connections on a port of the host. It returns an error if the address is invalid or the port is in
// use. The IP address is ignored.
func (r *Runtime) Listen(address string, acceptor *transport.Listener) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h, port := r.host, at.Port()
	if h.listeners[port] != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, errAddressInUse)
	}
	l := &listener{acceptor}
	h.listeners[port] = l
	return func() {
		if h.listeners[port] == l {
			delete(h.listeners, port)
		}
	}, nil
}

// Dial starts to connect. It returns an error if the address is invalid, and syscall.EMFILE if the process has no free
// descriptor.
func (r *Runtime) Dial(address string, c *transport.Conn) (func(), error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	s, err := r.host.dial(remote, c)
	if err != nil {
		return nil, err
	}
	return s.Close, nil
}

// Random fills b with bytes drawn from the world's random source.
func (r *Runtime) Random(b []byte) {
	for i := range b {
		b[i] = byte(r.host.world.Random.Uint64() >> 32)
	}
}

// Stop closes all connections and listeners of the process. It does nothing if the host has started another process
// since.
func (r *Runtime) Stop() {
	if r.host.incarnation != r.incarnation {
		return
	}
	for _, s := range append([]*socket(nil), r.host.sockets...) {
		s.close()
	}
	r.host.listeners = map[uint16]*listener{}
}

// loop calls a function repeatedly on virtual time. It implements transport.Loop.
type loop struct {
	runtime   *Runtime
	step      func() time.Duration
	onEnd     func()
	nextAt    Micros // time of the next call
	scheduled int    // number of calls scheduled so far; each replaces the call scheduled before it
	running   bool   // step is being called
	woken     bool   // Wake was called during the current call
	stopped   bool
}

// StartLoop calls step repeatedly, first at the current time and then each time after the duration that the previous
// call returned. It calls onEnd when the loop is stopped.
func (r *Runtime) StartLoop(step func() time.Duration, onEnd func()) transport.Loop {
	l := &loop{runtime: r, step: step, onEnd: onEnd}
	l.schedule(r.host.world.now)
	return l
}

// schedule schedules the next call and replaces the one that is scheduled already. A call whose process is paused is
// made when the process is resumed, unless it has been replaced by then.
func (l *loop) schedule(at Micros) {
	l.scheduled++
	l.nextAt = at
	call := l.scheduled
	run := func() {
		if l.scheduled == call {
			l.run()
		}
	}
	l.runtime.host.world.At(at, func() {
		if l.scheduled == call {
			l.runtime.host.run(l.runtime.incarnation, run)
		}
	})
}

// run calls step and schedules the next call, at least 1 µs later so that virtual time advances.
func (l *loop) run() {
	if l.stopped {
		return
	}
	l.woken = false
	l.running = true
	next := l.step()
	l.running = false
	if l.woken {
		next = 0
	}
	if !l.stopped {
		l.schedule(l.runtime.host.world.now + max(clock.FromDuration(next), 1))
	}
}

// Wake moves the next call to the current time. During a call of step, it moves the next call to 1 µs after that call.
func (l *loop) Wake() {
	now := l.runtime.host.world.now
	switch {
	case l.stopped:
	case l.running:
		l.woken = true
	case l.nextAt > now:
		l.schedule(now)
	}
}

// Stop ends the loop. It never waits for a running call of step, because a simulation has only one goroutine.
func (l *loop) Stop(time.Duration) {
	if !l.stopped {
		l.stopped = true
		l.onEnd()
	}
}
