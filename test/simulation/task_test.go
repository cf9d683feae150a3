package simulation

import (
	"context"
	"iter"
	"time"

	"ravendale/cluster/relay/mailbox"
)

// task is a coroutine of a process. One task runs at a time, and yields only where it waits.
type task struct {
	incarnation *incarnation
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	wakeCount   uint64
	done        bool
}

// processEnded is the panic value that unwinds a task whose process has ended.
type processEnded struct{}

// startTask starts a task of the process.
func (l *incarnation) startTask(run func()) {
	t := &task{incarnation: l}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			t.done = true
			if problem := recover(); problem != nil {
				if _, ended := problem.(processEnded); !ended {
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

// wake resumes a waiting task after a delay, unless it has been resumed before that.
func (t *task) wake(after time.Duration) {
	wakeCount := t.wakeCount
	t.incarnation.after(after, func() { t.resume(wakeCount) })
}

// resume continues the task, unless it has been resumed since this wake-up was scheduled.
func (t *task) resume(wakeCount uint64) {
	if t.done || t.wakeCount != wakeCount {
		return
	}
	t.wakeCount++
	world := t.incarnation.machine.world
	before := world.running
	world.running = t
	t.next()
	world.running = before
}

// pause waits until the task is woken.
func (t *task) pause() {
	if !t.yield(struct{}{}) {
		panic(processEnded{})
	}
}

// endTasks ends all tasks of the process.
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
	g.incarnation.startTask(func() {
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

// sleep implements host.Host.Sleep. Code that cancels a context has to call wakeSleepers.
func (l *incarnation) sleep(ctx context.Context, pause time.Duration) error {
	t := l.machine.world.running
	until := l.now() + pause
	for ctx.Err() == nil && l.now() < until {
		t.wake(l.worldDuration(until - l.now()))
		l.sleeping[t] = true
		t.pause()
		delete(l.sleeping, t)
	}
	return ctx.Err()
}

// wakeSleepers wakes all sleeping tasks, which then check their contexts.
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
			t.wake(l.machine.world.drawUpTo(maxHandlingDelay))
		}
	})
	for {
		pause := tick()
		if ctx.Err() != nil {
			return
		}
		if pause > 0 {
			t.wake(l.worldDuration(pause))
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

// maxHandlingDelay is the longest delay until a process handles a message in its mailbox.
const maxHandlingDelay = 300 * time.Microsecond
