package dispatch

import (
	"container/heap"
	"time"

	"ravendale/cluster/wire"
)

// dueHeap orders messages by when they are due.
type dueHeap []*message

func (a dueHeap) Len() int { return len(a) }

func (a dueHeap) Less(i, j int) bool { return a[i].dueAt < a[j].dueAt }

func (a dueHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].heapIndex, a[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (a *dueHeap) Push(x any) {
	m := x.(*message)
	m.heapIndex = len(*a)
	*a = append(*a, m)
}

// Pop implements heap.Interface.
func (a *dueHeap) Pop() any {
	last := len(*a) - 1
	m := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	m.heapIndex = -1
	return m
}

// scheduleAt puts a message into a phase, and has processDue called for it at a time.
func (c *Core) scheduleAt(m *message, p phase, due time.Duration) {
	m.phase, m.dueAt = p, due
	if m.heapIndex < 0 {
		heap.Push(&c.due, m)
	} else {
		heap.Fix(&c.due, m.heapIndex)
	}
}

func (c *Core) removeScheduled(m *message) {
	if m.heapIndex >= 0 {
		heap.Remove(&c.due, m.heapIndex)
	}
}

// deferUntil has a message admitted at a time: now if that has come.
func (c *Core) deferUntil(m *message, until time.Duration) {
	c.scheduleAt(m, phaseDeferred, until)
	if until <= c.now {
		c.admit(m)
	}
}

// backOff defers a message that was not run, for intervals that double.
func (c *Core) backOff(m *message) {
	pause := min(minBackoff<<min(m.backoffs, 10), maxBackoff)
	m.backoffs++
	c.deferUntil(m, c.now+pause)
}

// processDue does what is due for a message, and schedules what follows.
func (c *Core) processDue(m *message) {
	switch {
	case m.phase == phaseDeferred:
		c.admit(m)
	case m.phase == phaseReleasing:
		c.release(m)
	case m.phase == phaseSubmitted && m.job.isInFlight():
		c.scheduleAt(m, phaseSubmitted, c.now+moduleTimeout)
	case m.phase == phaseSubmitted:
		s := m.service
		c.withdraw(m)
		c.requeue(m, s)
	default: // nothing but its expiry is due
		c.finish(m, wire.Report{Kind: wire.ReportExpired})
	}
}
