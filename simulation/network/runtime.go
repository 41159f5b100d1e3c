package network

import (
	"errors"
	"net/netip"
	"time"

	"threadrun/internal/clock"
	"threadrun/internal/transport"
)

var errAddressInUse = errors.New("address in use")

// Runtime is the runtime of one process of a host. It implements transport.Runtime.
type Runtime struct {
	host        *Host
	incarnation int
}

// Now returns the host's monotonic time.
func (r *Runtime) Now() time.Time { return Epoch.Add(r.host.world.now.Duration()) }

// WallTime returns the time of the host's wall clock.
func (r *Runtime) WallTime() time.Time {
	return Epoch.Add((r.host.world.now + r.host.ClockSkew).Duration())
}

// Listen accepts connections on a port of the host. It fails if the address is invalid or in use.
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

// Dial starts to connect. It fails if the address is invalid, or with syscall.EMFILE.
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

// Random fills b with random bytes.
func (r *Runtime) Random(b []byte) {
	for i := range b {
		b[i] = byte(r.host.world.Random.Uint64() >> 32)
	}
}

// Stop closes all connections and listeners of the process.
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
	at      Micros // time of the next call
	calls   int    // scheduled so far; only the last one takes place
	running bool
	woken   bool // during the current call
	stopped bool
}

// StartLoop calls step repeatedly, each time after the span that the call before returned. It calls onEnd when the loop
// is stopped.
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

// Wake makes the next call happen at once.
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

// Stop ends the loop. It never needs to wait for a call, since there is only one goroutine.
func (l *loop) Stop(time.Duration) {
	if !l.stopped {
		l.stopped = true
		l.onEnd()
	}
}
