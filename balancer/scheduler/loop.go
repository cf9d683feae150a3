package scheduler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/balancer/deadline"
)

// Loop is an event loop that guards state: only the goroutine that holds its turn may access that state, and turns never
// overlap. The network's poller takes most turns, to deliver a connection's bytes (Begin, End); the goroutine of Run takes
// turns for posted functions and due deadlines. If the poller posted its events to that goroutine instead, each job would pay
// for a copy, a closure and two context switches, four times.
//
// Loops call functions in one another's turns through Send. A goroutine that ends a turn then takes a turn of each loop that
// it sent something to, if that loop's turn is free; otherwise the holder of that turn calls what was sent before it leaves.
// One goroutine thus follows its work from loop to loop without waking another: see Hendler, Incze, Shavit and Tzafrir, "Flat
// Combining and the Synchronization-Parallelism Tradeoff" (SPAA 2010).
type Loop struct {
	Deadlines *deadline.Queue
	// Gap, if set, is called in a turn whose time is more than GapOver after the last time read: the loop was idle or its
	// process was paused, and the events that arrived meanwhile are not processed in the order of their arrival.
	Gap     func()
	GapOver time.Duration

	clock  func() time.Duration
	turn   sync.Mutex
	now    time.Duration // time of the current turn; guarded by turn
	armed  time.Duration // when timer fires; guarded by turn
	timer  *time.Timer
	closed bool
	sent   []*Loop // loops that this turn sent something to; guarded by turn

	mu        sync.Mutex
	posted    []func()
	spare     []func()
	hasPosted atomic.Bool // posted is not empty
	queued    atomic.Int64
	wake      chan struct{}
}

const noTime = time.Duration(math.MaxInt64)

// NewLoop returns a loop that uses the given clock, which must be monotonic.
func NewLoop(clock func() time.Duration) *Loop {
	l := &Loop{Deadlines: deadline.NewQueue(), clock: clock, now: clock(), wake: make(chan struct{}, 1), armed: noTime}
	l.timer = time.NewTimer(time.Hour)
	l.timer.Stop()
	return l
}

// SystemClock returns a clock that counts from the Unix epoch, so that start times given in Unix time can be compared with
// it, but advances with the monotonic clock, so that a step of the system time cannot set it back.
func SystemClock() func() time.Duration {
	began := time.Now()
	base := time.Duration(began.UnixNano())
	return func() time.Duration { return base + time.Since(began) }
}

// Now returns the time of the current turn.
func (l *Loop) Now() time.Duration { return l.now }

// After adds a deadline relative to the time of the current turn, which is also the time that the decision module uses.
func (l *Loop) After(wait time.Duration, due func()) *deadline.Deadline {
	return l.Deadlines.Add(l.now+wait, due)
}

// Post schedules f to be called in a turn of the loop. Any goroutine may call it, also one that holds the turn.
func (l *Loop) Post(f func()) {
	l.enqueue(f)
	l.wakeRun()
}

// wakeRun makes Run take a turn.
func (l *Loop) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) enqueue(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.hasPosted.Store(true)
	l.queued.Store(int64(len(l.posted)))
	l.mu.Unlock()
}

// Queued returns approximately how many functions wait to be called. Any goroutine may call it.
func (l *Loop) Queued() int { return int(l.queued.Load()) }

// Send schedules f to be called in a turn of another loop, soon after this loop's current turn, which the caller must hold.
// Functions sent to one loop are called in the order in which they were sent. A loop that sends to itself posts.
func (l *Loop) Send(to *Loop, f func()) {
	to.enqueue(f)
	for _, other := range l.sent {
		if other == to {
			return
		}
	}
	l.sent = append(l.sent, to)
}

// Begin acquires the turn for the calling goroutine and calls the posted functions; the caller must then call End. Once Run
// has returned, Begin returns false without acquiring the turn.
func (l *Loop) Begin() bool {
	l.turn.Lock()
	if l.closed {
		l.turn.Unlock()
		return false
	}
	l.tick()
	l.takePosted()
	return true
}

// tick updates the turn's time from the clock.
func (l *Loop) tick() {
	before := l.now
	if l.now = max(l.now, l.clock()); l.Gap != nil && l.now-before > l.GapOver {
		l.Gap()
	}
}

// End calls the functions posted meanwhile and the deadlines that are due, and releases the turn. Then it takes turns of the
// loops that something was sent to.
func (l *Loop) End() {
	for sent := l.finish(); len(sent) > 0; {
		next := sent[0]
		sent = append(sent[1:], next.takeTurn()...)
	}
}

// maxTurns is how many turns one goroutine takes in a row for functions that others enqueued, before it leaves the rest to
// Run: its own connections wait meanwhile.
const maxTurns = 8

// finish ends a turn, and returns the loops that something was sent to. It also calls the functions that other goroutines
// enqueued during the turn without being able to acquire it. None is missed: a sender tries to acquire the turn after
// enqueuing, and finish checks the queue after releasing the turn.
func (l *Loop) finish() (sent []*Loop) {
	for turn := 1; ; turn++ {
		l.takePosted()
		l.Deadlines.Sweep(l.now)
		if at, any := l.Deadlines.Next(); any && at < l.armed {
			l.armed = at
			l.timer.Reset(max(at-l.now, 0))
		}
		for _, to := range l.sent {
			if to != l {
				sent = append(sent, to)
			}
		}
		clear(l.sent)
		l.sent = l.sent[:0]
		l.turn.Unlock()
		if !l.hasPosted.Load() {
			return sent
		}
		if turn == maxTurns {
			l.wakeRun()
			return sent
		}
		if !l.turn.TryLock() {
			return sent
		}
		if l.closed {
			l.turn.Unlock()
			return sent
		}
		l.tick()
	}
}

// takeTurn takes a turn for the enqueued functions, if the turn is free.
func (l *Loop) takeTurn() []*Loop {
	if !l.hasPosted.Load() || !l.turn.TryLock() {
		return nil
	}
	if l.closed {
		l.turn.Unlock()
		return nil
	}
	l.tick()
	return l.finish()
}

func (l *Loop) takePosted() {
	if !l.hasPosted.Load() {
		return
	}
	l.mu.Lock()
	l.posted, l.spare = l.spare[:0], l.posted
	l.hasPosted.Store(false)
	l.queued.Store(0)
	batch := l.spare
	l.mu.Unlock()
	for i, f := range batch {
		l.tick()
		f()
		batch[i] = nil
	}
}

// Turn calls the posted functions in order, and then the deadlines that are due.
func (l *Loop) Turn() {
	if l.Begin() {
		l.End()
	}
}

// Run takes turns until stop is closed, and blocks while there is nothing to do.
func (l *Loop) Run(stop <-chan struct{}) {
	defer l.timer.Stop()
	for {
		select {
		case <-stop:
			l.turn.Lock()
			l.closed = true
			l.turn.Unlock()
			return
		case <-l.wake:
		case <-l.timer.C:
		}
		l.turn.Lock()
		l.tick()
		l.takePosted()
		l.armed = noTime
		l.End()
	}
}
