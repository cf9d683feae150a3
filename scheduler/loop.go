package scheduler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/deadline"
)

// Loop is what owns all state: whoever has the turn. Turns never overlap. Most are taken by the network's poller, which
// brings a connection's bytes (Begin, End); the goroutine of Run takes those for what was posted and what falls due. With
// the poller's events posted to that goroutine instead, a job paid four times for a copy, a closure and two switches.
type Loop struct {
	Deadlines *deadline.Queue

	clock func() time.Duration
	turn  sync.Mutex
	now   time.Duration // the turn's
	armed time.Duration // when timer fires; the turn's
	timer *time.Timer
	ended bool

	mu     sync.Mutex
	posted []func()
	spare  []func()
	any    atomic.Bool // something is posted
	wake   chan struct{}
}

const noTime = time.Duration(math.MaxInt64)

// NewLoop returns a loop on a clock that never goes back.
func NewLoop(clock func() time.Duration) *Loop {
	l := &Loop{Deadlines: deadline.NewQueue(), clock: clock, now: clock(), wake: make(chan struct{}, 1), armed: noTime}
	l.timer = time.NewTimer(time.Hour)
	l.timer.Stop()
	return l
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

// Post has f called in a turn; other goroutines may call it, and those that have the turn.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.any.Store(true)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Begin gives the calling goroutine the turn, after what was posted; it is to call End. It returns false, and gives no
// turn, once Run has ended.
func (l *Loop) Begin() bool {
	l.turn.Lock()
	if l.ended {
		l.turn.Unlock()
		return false
	}
	l.takePosted()
	l.now = max(l.now, l.clock())
	return true
}

// End takes what was posted meanwhile, sweeps what is due and gives the turn back.
func (l *Loop) End() {
	l.takePosted()
	l.Deadlines.Sweep(l.now)
	if at, any := l.Deadlines.Next(); any && at < l.armed {
		l.armed = at
		l.timer.Reset(max(at-l.now, 0))
	}
	l.turn.Unlock()
}

func (l *Loop) takePosted() {
	if !l.any.Load() {
		return
	}
	l.mu.Lock()
	l.posted, l.spare = l.spare[:0], l.posted
	l.any.Store(false)
	batch := l.spare
	l.mu.Unlock()
	for i, f := range batch {
		l.now = max(l.now, l.clock())
		f()
		batch[i] = nil
	}
}

// Turn takes what was posted, in order, and then sweeps what is due.
func (l *Loop) Turn() {
	if l.Begin() {
		l.End()
	}
}

// Run takes turns until stop is closed, and sleeps while there is nothing to do.
func (l *Loop) Run(stop <-chan struct{}) {
	defer l.timer.Stop()
	for {
		select {
		case <-stop:
			l.turn.Lock()
			l.ended = true
			l.turn.Unlock()
			return
		case <-l.wake:
		case <-l.timer.C:
		}
		l.turn.Lock()
		l.takePosted()
		l.now, l.armed = max(l.now, l.clock()), noTime
		l.End()
	}
}
