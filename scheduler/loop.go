package scheduler

import (
	"sync"
	"time"

	"ravendale/deadline"
)

// Loop is the one goroutine that owns all state. Everything else posts to it.
type Loop struct {
	Deadlines *deadline.Queue

	clock  func() time.Duration
	now    time.Duration
	mu     sync.Mutex
	posted []func()
	spare  []func()
	wake   chan struct{}
}

// NewLoop returns a loop on a clock that never goes back.
func NewLoop(clock func() time.Duration) *Loop {
	return &Loop{Deadlines: deadline.NewQueue(), clock: clock, now: clock(), wake: make(chan struct{}, 1)}
}

// SystemClock returns a clock that counts from the Unix epoch, so that start times given in Unix time fit on
// it, but moves with the monotonic clock: a step of the system's time can't take it back.
func SystemClock() func() time.Duration {
	began := time.Now()
	base := time.Duration(began.UnixNano())
	return func() time.Duration { return base + time.Since(began) }
}

// Now is the time of the present turn.
func (l *Loop) Now() time.Duration { return l.now }

// After sets a deadline counted from the time of the present turn, which is the time that the module
// counts from as well.
func (l *Loop) After(wait time.Duration, due func()) *deadline.Deadline {
	return l.Deadlines.Add(l.now+wait, due)
}

// Post has f called by the owner; it is the only method that other goroutines may call.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Turn takes what was posted, in order, and then sweeps what is due.
func (l *Loop) Turn() {
	l.mu.Lock()
	l.posted, l.spare = l.spare[:0], l.posted
	batch := l.spare
	l.mu.Unlock()
	for i, f := range batch {
		l.now = max(l.now, l.clock())
		f()
		batch[i] = nil
	}
	l.now = max(l.now, l.clock())
	l.Deadlines.Sweep(l.now)
}

// Run takes turns until stop is closed, and sleeps while there is nothing to do.
func (l *Loop) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-l.wake:
		case <-timer.C:
		}
		l.Turn()
		if at, any := l.Deadlines.Next(); any {
			timer.Reset(max(at-l.clock(), 0))
		} else {
			timer.Stop()
		}
	}
}
