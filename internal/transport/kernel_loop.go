package transport

import (
	"sync"
	"time"
)

// kernelLoop is a Loop that runs on its own goroutine.
type kernelLoop struct {
	wake     chan struct{} // capacity 1, so that pending wakes are merged
	stop     chan struct{} // closed by Stop
	done     chan struct{} // closed when the goroutine has ended
	stopOnce sync.Once     // guards the closing of stop
}

// StartLoop starts a loop on a goroutine of its own. It calls step at once for the first time.
func (k *kernel) StartLoop(step func() time.Duration, onEnd func()) Loop {
	l := &kernelLoop{wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(step, onEnd)
	return l
}

func (l *kernelLoop) run(step func() time.Duration, onEnd func()) {
	defer close(l.done)
	defer onEnd()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.wake:
		case <-timer.C:
		}
		timer.Reset(step())
	}
}

// Wake makes the loop call step at once, or once more after a call that is running.
func (l *kernelLoop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake is already pending
	}
}

// Stop ends the goroutine, and waits up to limit until it has ended.
func (l *kernelLoop) Stop(limit time.Duration) {
	l.stopOnce.Do(func() { close(l.stop) })
	if limit <= 0 {
		return
	}
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}
