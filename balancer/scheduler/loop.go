package scheduler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ravendale/balancer/deadline"
)

// Loop is what owns a state: whoever has its turn. Turns never overlap. Most are taken by the network's poller, which
// brings a connection's bytes (Begin, End); the goroutine of Run takes those for what was posted and what falls due. With
// the poller's events posted to that goroutine instead, a job paid four times for a copy, a closure and two switches.
//
// Several loops work for one another by Send. Who gives a turn back takes the turns of the loops that it sent something
// to, where nobody has them; where somebody has, that one takes what was sent before it goes. So what one goroutine
// has begun it carries on from loop to loop, without waking another: see Hendler, Incze, Shavit and Tzafrir, "Flat
// Combining and the Synchronization-Parallelism Tradeoff" (SPAA 2010).
type Loop struct {
	Deadlines *deadline.Queue
	// Gap, if set, is called in a turn whose time is more than GapOver after the last one looked at: the loop was idle, or
	// its process stood still, and what came meanwhile is taken in no order of its own.
	Gap     func()
	GapOver time.Duration

	clock  func() time.Duration
	turn   sync.Mutex
	now    time.Duration // the turn's
	armed  time.Duration // when timer fires; the turn's
	timer  *time.Timer
	closed bool
	sent   []*Loop // to, in this turn; the turn's

	mu     sync.Mutex
	posted []func()
	spare  []func()
	any    atomic.Bool // something is posted
	queued atomic.Int64
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
	l.enqueue(f)
	l.rouse()
}

// rouse has Run take a turn.
func (l *Loop) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) enqueue(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.any.Store(true)
	l.queued.Store(int64(len(l.posted)))
	l.mu.Unlock()
}

// Queued is how much waits to be called, about; other goroutines may ask.
func (l *Loop) Queued() int { return int(l.queued.Load()) }

// Send has f called in a turn of another loop, soon after this loop's present turn, which the caller has. What is sent
// to one loop is called in the order in which it was sent. A loop that sends to itself posts.
func (l *Loop) Send(to *Loop, f func()) {
	to.enqueue(f)
	for _, other := range l.sent {
		if other == to {
			return
		}
	}
	l.sent = append(l.sent, to)
}

// Begin gives the calling goroutine the turn, after what was posted; it is to call End. It returns false, and gives no
// turn, once Run has ended.
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

// tick brings the turn's time up.
func (l *Loop) tick() {
	before := l.now
	if l.now = max(l.now, l.clock()); l.Gap != nil && l.now-before > l.GapOver {
		l.Gap()
	}
}

// End takes what was posted meanwhile, sweeps what is due and gives the turn back. Then it sees to the loops that
// something was sent to.
func (l *Loop) End() {
	for sent := l.finish(); len(sent) > 0; {
		next := sent[0]
		sent = append(sent[1:], next.help()...)
	}
}

// maxTurns is how often one goroutine goes on with a loop for others before Run has to: its own connections wait
// meanwhile.
const maxTurns = 8

// finish ends a turn, and returns the loops that something was sent to. What others enqueued up to the end of the
// turn, and could not take a turn for, is taken here: whoever enqueues tries for the turn after that, and this looks
// after giving it back.
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
		if !l.any.Load() {
			return sent
		}
		if turn == maxTurns {
			l.rouse()
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

// help takes a turn for what was enqueued, if nobody has it.
func (l *Loop) help() []*Loop {
	if !l.any.Load() || !l.turn.TryLock() {
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
	if !l.any.Load() {
		return
	}
	l.mu.Lock()
	l.posted, l.spare = l.spare[:0], l.posted
	l.any.Store(false)
	l.queued.Store(0)
	batch := l.spare
	l.mu.Unlock()
	for i, f := range batch {
		l.tick()
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
