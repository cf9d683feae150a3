package scheduler

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Loops that send to one another from several goroutines at once must lose nothing, keep the order between each pair of loops,
// and never run two turns of a loop at a time. Run is not started, so that no other goroutine helps.
func TestLoopSendConcurrent(t *testing.T) {
	const loops, workers, rounds = 3, 4, 3000
	var all [loops]*Loop
	var inTurn [loops]atomic.Int32
	var seen [loops][loops]int // seen[i][j] is the last number that i received from j; guarded by i's turn
	var sent [loops][loops]int // sent[i][j] is the last number that j sent to i; guarded by j's turn
	var got atomic.Int64
	for i := range all {
		all[i] = NewLoop(SystemClock())
	}
	enter := func(i int) {
		if inTurn[i].Add(1) != 1 {
			t.Error("two turns of one loop overlap")
		}
	}
	leave := func(i int) { inTurn[i].Add(-1) }
	var work sync.WaitGroup
	for w := range workers {
		work.Go(func() {
			for r := range rounds {
				from := (w + r) % loops
				if !all[from].Begin() {
					t.Error("Begin returned false on an open loop")
					return
				}
				enter(from)
				for to := range loops {
					if to == from {
						continue
					}
					sent[to][from]++
					number := sent[to][from]
					all[from].Send(all[to], func() {
						enter(to)
						if seen[to][from]++; seen[to][from] != number {
							t.Errorf("function %d was called when %d was expected", number, seen[to][from])
						}
						got.Add(1)
						leave(to)
					})
				}
				leave(from)
				all[from].End()
			}
		})
	}
	work.Wait()
	for i, l := range all {
		if l.hasPosted.Load() && len(l.wake) == 0 {
			t.Errorf("loop %d has unprocessed functions, and Run was not woken", i)
		}
	}
	for range loops {
		for _, l := range all {
			l.Turn()
		}
	}
	if want := int64(workers * rounds * (loops - 1)); got.Load() != want {
		t.Errorf("%d of %d functions were called", got.Load(), want)
	}
}

// A turn taken by another goroutine must set the timer on which Run wakes for the earliest deadline.
func TestRunWakesForDeadlineOfOtherTurn(t *testing.T) {
	l := NewLoop(SystemClock())
	stop, due := make(chan struct{}), make(chan struct{})
	ended := make(chan struct{})
	go func() { l.Run(stop); close(ended) }()
	l.Begin()
	l.After(time.Hour, func() { t.Error("a deadline of one hour fired") })
	l.After(time.Millisecond, func() { close(due) })
	l.End()
	<-due
	close(stop)
	<-ended
	if l.Begin() {
		t.Error("Begin returned true after Run had returned")
	}
}

// A function that is enqueued between the last check of the queue and the end of a turn must be called, although its sender could
// not acquire the turn.
func TestSendDuringSweepIsProcessed(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, b := NewLoop(clock), NewLoop(clock)
	came := false
	a.Begin()
	a.After(0, func() { // runs while a sweeps its deadlines
		b.Begin()
		b.Send(a, func() { came = true })
		b.End()
		if came {
			t.Error("the function was called while another goroutine held the turn")
		}
	})
	a.End()
	if !came {
		t.Error("the function was not called at the end of the turn")
	}
}
