package transport

import (
	"sync"
	"time"
)

// kernelLoop is a Loop that runs on its own goroutine.
type kernelLoop struct {
	woken chan struct{}
	stop  chan struct{} // closed by Stop
	ended chan struct{} // closed when the goroutine has ended
	once  sync.Once
}

// StartLoop starts a loop. It calls turn at once for the first time.
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

// Wake makes the loop call turn at once.
func (l *kernelLoop) Wake() {
	select {
	case l.woken <- struct{}{}:
	default: // already woken
	}
}

// Stop ends the goroutine. It waits for that up to limit.
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
