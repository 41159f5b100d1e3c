package transport

import (
	"sync"
	"time"
)

// kernelLoop runs on a goroutine of its own.
type kernelLoop struct {
	woken chan struct{}
	stop  chan struct{} // closed by Stop
	ended chan struct{} // closed once the goroutine has ended
	once  sync.Once
}

// StartLoop starts a loop, whose first turn comes at once.
func (k *kernel) StartLoop(turn func() time.Duration, ended func()) Loop {
	l := &kernelLoop{woken: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	go l.run(turn, ended)
	return l
}

func (l *kernelLoop) run(turn func() time.Duration, ended func()) {
	defer close(l.ended)
	defer ended()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-l.woken:
		case <-timer.C:
		}
		timer.Reset(turn())
	}
}

// Wake has the next turn follow at once.
func (l *kernelLoop) Wake() {
	select {
	case l.woken <- struct{}{}:
	default: // woken already
	}
}

// Stop ends the goroutine, and waits for that as long as the limit at most.
func (l *kernelLoop) Stop(limit time.Duration) {
	l.once.Do(func() { close(l.stop) })
	if limit <= 0 {
		return
	}
	select {
	case <-l.ended:
	case <-time.After(limit):
	}
}
