package network

import (
	"errors"
	"net/netip"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

var errAddressInUse = errors.New("address in use")

// Runtime is what one process of a host runs on. It implements transport.Runtime.
type Runtime struct {
	host        *Host
	incarnation int
}

// Now is the host's monotonic time.
func (r *Runtime) Now() time.Time { return Epoch.Add(r.host.world.now.Duration()) }

// WallTime is the host's wall clock.
func (r *Runtime) WallTime() time.Time {
	return Epoch.Add((r.host.world.now + r.host.ClockSkew).Duration())
}

// Listen accepts connections at a port of the host. Its error is that of the address, or that it is in use.
func (r *Runtime) Listen(address string, accepts *transport.Listener) (func(), error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h, port := r.host, at.Port()
	if h.listeners[port] != nil {
		return nil, errAddressInUse
	}
	l := &listener{accepts}
	h.listeners[port] = l
	return func() {
		if h.listeners[port] == l {
			delete(h.listeners, port)
		}
	}, nil
}

// Dial begins to connect. Its error is that of the address, or syscall.EMFILE.
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

// Random fills b by the world's random numbers.
func (r *Runtime) Random(b []byte) {
	for i := range b {
		b[i] = byte(r.host.world.Random.Uint64() >> 32)
	}
}

// Stop closes all connections of the process, and its listeners.
func (r *Runtime) Stop() {
	if r.host.incarnation != r.incarnation {
		return
	}
	for _, s := range append([]*socket(nil), r.host.sockets...) {
		s.close()
	}
	r.host.listeners = map[uint16]*listener{}
}

// loop calls a function on virtual time.
type loop struct {
	runtime *Runtime
	step    func() time.Duration
	onEnd   func()
	at      Micros // of the next call
	calls   int    // scheduled so far; only the last one is made
	running bool
	woken   bool // during a call
	stopped bool
}

// StartLoop calls step again and again, after the spans that it returns. When the loop is stopped, onEnd is called.
func (r *Runtime) StartLoop(step func() time.Duration, onEnd func()) transport.Loop {
	l := &loop{runtime: r, step: step, onEnd: onEnd}
	l.schedule(r.host.world.now)
	return l
}

func (l *loop) schedule(at Micros) {
	l.calls++
	l.at = at
	call := l.calls
	run := func() {
		if l.calls == call {
			l.run()
		}
	}
	l.runtime.host.world.At(at, func() {
		if l.calls == call {
			l.runtime.host.run(l.runtime.incarnation, run)
		}
	})
}

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

// Wake has the next call follow at once.
func (l *loop) Wake() {
	now := l.runtime.host.world.now
	switch {
	case l.stopped:
	case l.running:
		l.woken = true
	case l.at > now:
		l.schedule(now)
	}
}

// Stop ends the loop. There is one goroutine, so that it never waits for a call.
func (l *loop) Stop(time.Duration) {
	if !l.stopped {
		l.stopped = true
		l.onEnd()
	}
}
