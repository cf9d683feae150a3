package dispatch

import (
	"slices"
	"sort"
	"time"
)

// waitQueue holds a service's messages that may run and are not yet submitted to its decision module, sorted by start
// target. A module is given one message at a time, once all its jobs are in flight: so the message to send next is
// chosen as late as possible, however many wait.
type waitQueue struct{ messages []*message }

func (q *waitQueue) len() int { return len(q.messages) }

func (q *waitQueue) add(m *message) {
	i := sort.Search(len(q.messages), func(i int) bool { return m.startTarget < q.messages[i].startTarget })
	q.messages = slices.Insert(q.messages, i, m)
}

func (q *waitQueue) remove(m *message) {
	for i := q.search(m.startTarget); i < len(q.messages); i++ {
		if q.messages[i] == m {
			q.messages = slices.Delete(q.messages, i, i+1)
			return
		}
	}
}

// search returns the index of the first message whose start target is at a time or later.
func (q *waitQueue) search(at time.Duration) int {
	return sort.Search(len(q.messages), func(i int) bool { return at <= q.messages[i].startTarget })
}

// next returns the message to submit next, or nil if the queue is empty. Of the messages that can still meet their
// start target, it is the oldest. If there are none, it is the newest: in any order the same number of messages miss
// their target, but a key whose messages have all run has its next message in time again. With the oldest first, all
// keys would be late until the whole backlog has run.
func (q *waitQueue) next(now time.Duration) *message {
	if len(q.messages) == 0 {
		return nil
	}
	return q.messages[min(q.search(now), len(q.messages)-1)]
}

// enqueue adds a message to its service's queue, until it can be submitted to the service's module.
func (c *Core) enqueue(m *message, s *service) {
	m.service = s
	if s.queue.len() == 0 {
		c.backlogged = append(c.backlogged, s)
	}
	s.queue.add(m)
	c.messages.schedule(m, phaseQueued, m.expiresAt)
}

// dequeue removes a message from its service's queue.
func (c *Core) dequeue(m *message) {
	m.service.queue.remove(m)
	c.pruneBacklogged()
}

// pruneBacklogged removes services with empty queues from c.backlogged.
func (c *Core) pruneBacklogged() {
	c.backlogged = slices.DeleteFunc(c.backlogged, func(s *service) bool { return s.queue.len() == 0 })
}

// reroute schedules the admission of messages that waited for a service, so that each follows its current route.
func (c *Core) reroute(messages []*message) {
	for _, m := range messages {
		m.service = nil
		c.messages.schedule(m, phaseDeferred, c.now)
	}
}

// submitQueued submits the next message of the first backlogged service whose module has all its jobs in flight. It
// reports whether there was one.
func (c *Core) submitQueued() bool {
	for _, s := range c.backlogged {
		if s.waitingJobs > 0 {
			continue
		}
		m := s.queue.next(c.now)
		c.dequeue(m)
		c.submit(m, s, false)
		return true
	}
	return false
}
