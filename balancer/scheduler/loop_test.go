package scheduler

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Loops that send to one another from several goroutines at once lose nothing, keep the order of what one sent to one
// other, and never have two turns at a time. Nobody wakes them: there is no Run.
func TestLoopsTakeTurnsForOneAnother(t *testing.T) {
	const loops, workers, rounds = 3, 4, 3000
	var all [loops]*Loop
	var inTurn [loops]atomic.Int32
	var seen [loops][loops]int // the last number that i had of j; i's turn
	var sent [loops][loops]int // j's turn
	var got atomic.Int64
	for i := range all {
		all[i] = NewLoop(SystemClock())
	}
	enter := func(i int) {
		if inTurn[i].Add(1) != 1 {
			t.Error("two turns at a time")
		}
	}
	leave := func(i int) { inTurn[i].Add(-1) }
	var work sync.WaitGroup
	for w := range workers {
		work.Go(func() {
			for r := range rounds {
				from := (w + r) % loops
				if !all[from].Begin() {
					t.Error("no turn")
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
							t.Errorf("number %d came in the place of %d", number, seen[to][from])
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
		if l.any.Load() && len(l.wake) == 0 {
			t.Errorf("loop %d was left with something to do, and Run not told", i)
		}
	}
	for range loops {
		for _, l := range all {
			l.Turn()
		}
	}
	if want := int64(workers * rounds * (loops - 1)); got.Load() != want {
		t.Errorf("%d of %d came", got.Load(), want)
	}
}

// A turn that another takes sets the timer by which Run wakes for what falls due first.
func TestRunWakesForWhatOthersSet(t *testing.T) {
	l := NewLoop(SystemClock())
	stop, due := make(chan struct{}), make(chan struct{})
	ended := make(chan struct{})
	go func() { l.Run(stop); close(ended) }()
	l.Begin()
	l.After(time.Hour, func() { t.Error("not yet") })
	l.After(time.Millisecond, func() { close(due) })
	l.End()
	<-due
	close(stop)
	<-ended
	if l.Begin() {
		t.Error("a turn after the end")
	}
}

// What comes between the last look at what was enqueued and the end of a turn is not left lying: who sent it found the turn
// taken.
func TestNothingIsLeftAtTheEndOfATurn(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, b := NewLoop(clock), NewLoop(clock)
	came := false
	a.Begin()
	a.After(0, func() { // while a sweeps
		b.Begin()
		b.Send(a, func() { came = true })
		b.End()
		if came {
			t.Error("it was called in another's turn")
		}
	})
	a.End()
	if !came {
		t.Error("it was left")
	}
}
