package simulation

import (
	"context"
	"iter"
	"time"

	"ravendale/cluster/relay/mailbox"
)

// task is code that may wait, run as a coroutine: one runs at a time, and gives way only where it waits.
type task struct {
	incarnation *incarnation
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	turn        uint64
	done        bool
}

// killed is what a task ends with whose process has ended.
type killed struct{}

// begin starts a task of a process.
func (l *incarnation) begin(run func()) {
	t := &task{incarnation: l}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			t.done = true
			if problem := recover(); problem != nil {
				if _, ended := problem.(killed); !ended {
					panic(problem)
				}
			}
		}()
		t.yield = yield
		run()
	})
	l.tasks = append(l.tasks, t)
	t.wake(0)
}

// wake has a waiting task go on, after a while.
func (t *task) wake(after time.Duration) {
	turn := t.turn
	t.incarnation.after(after, func() { t.resume(turn) })
}

// resume goes on unless the task has done so since.
func (t *task) resume(turn uint64) {
	if t.done || t.turn != turn {
		return
	}
	t.turn++
	world := t.incarnation.machine.world
	before := world.running
	world.running = t
	t.next()
	world.running = before
}

// pause waits until the task is woken.
func (t *task) pause() {
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// end ends all tasks of a process.
func (l *incarnation) endTasks() {
	for _, t := range l.tasks {
		t.done = true
		t.stop()
	}
	l.tasks = nil
}

// tasks implements host.Tasks.
type tasks struct {
	incarnation *incarnation
	running     int
	waiting     []*task
}

// Go implements host.Tasks.
func (g *tasks) Go(run func()) {
	g.running++
	g.incarnation.begin(func() {
		run()
		g.running--
		for _, waiter := range g.waiting {
			waiter.wake(0)
		}
		g.waiting = nil
	})
}

// Wait implements host.Tasks.
func (g *tasks) Wait() {
	for g.running > 0 {
		t := g.incarnation.machine.world.running
		g.waiting = append(g.waiting, t)
		t.pause()
	}
}

// sleep implements host.Host.Sleep. Those who end a context wake all that sleep.
func (l *incarnation) sleep(ctx context.Context, pause time.Duration) error {
	t := l.machine.world.running
	until := l.now() + pause
	for ctx.Err() == nil && l.now() < until {
		t.wake(l.real(until - l.now()))
		l.sleeping[t] = true
		t.pause()
		delete(l.sleeping, t)
	}
	return ctx.Err()
}

// wakeSleepers has all that wait look at their contexts.
func (l *incarnation) wakeSleepers() {
	for _, t := range l.tasks {
		if l.sleeping[t] {
			t.wake(0)
		}
	}
}

// serve implements host.Host.Serve.
func (l *incarnation) serve(ctx context.Context, box *mailbox.Mailbox, tick func() time.Duration) {
	t := l.machine.world.running
	waiting, woken := false, false
	box.OnPost(func() {
		if waiting && !woken {
			woken = true
			t.wake(l.machine.world.upTo(handling))
		}
	})
	for {
		pause := tick()
		if ctx.Err() != nil {
			return
		}
		if pause > 0 {
			t.wake(l.real(pause))
		}
		l.sleeping[t] = true
		waiting, woken = true, false
		if box.Waiting() {
			t.wake(0)
		}
		t.pause()
		waiting = false
		delete(l.sleeping, t)
		if ctx.Err() != nil {
			return
		}
		box.Handle()
	}
}

// handling is how long a process takes at most until it handles what has come.
const handling = 300 * time.Microsecond
