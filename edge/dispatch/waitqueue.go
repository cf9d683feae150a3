package dispatch

import (
	"slices"
	"sort"
	"time"
)

// waitQueue has a service's messages that may run and were not submitted to its decision module yet, sorted by when they should start. A
// module is given a message at a time, once all that it has are in flight: so the one that is best sent next is, however many wait.
type waitQueue struct{ messages []*message }

func (q *waitQueue) len() int { return len(q.messages) }

func (q *waitQueue) add(m *message) {
	i := sort.Search(len(q.messages), func(i int) bool { return m.startTarget < q.messages[i].startTarget })
	q.messages = slices.Insert(q.messages, i, m)
}

func (q *waitQueue) remove(m *message) {
	for i := q.from(m.startTarget); i < len(q.messages); i++ {
		if q.messages[i] == m {
			q.messages = slices.Delete(q.messages, i, i+1)
			return
		}
	}
}

// from returns the index of the first message that should start at a time or later.
func (q *waitQueue) from(at time.Duration) int {
	return sort.Search(len(q.messages), func(i int) bool { return at <= q.messages[i].startTarget })
}

// first returns the message that goes next; nil: there is none. The oldest of those that can still start within their target is first.
// Then comes the newest: whatever goes first, the same number misses its target, but a key whose messages have all run has the next one
// in time again, and with the oldest first all keys would be late until the last of the backlog has run.
func (q *waitQueue) first(now time.Duration) *message {
	if len(q.messages) == 0 {
		return nil
	}
	return q.messages[min(q.from(now), len(q.messages)-1)]
}

// enqueue has a message wait until it can be submitted to its service's module.
func (c *Core) enqueue(m *message, s *service) {
	m.service = s
	if s.queue.len() == 0 {
		c.backlogged = append(c.backlogged, s)
	}
	s.queue.add(m)
	c.messages.schedule(m, phaseQueued, m.expiresAt)
}

// dequeue takes a message out of its service's queue.
func (c *Core) dequeue(m *message) {
	m.service.queue.remove(m)
	c.pruneBacklogged()
}

// pruneBacklogged removes services with empty queues from the list.
func (c *Core) pruneBacklogged() {
	c.backlogged = slices.DeleteFunc(c.backlogged, func(s *service) bool { return s.queue.len() == 0 })
}

// reroute has messages that waited for a service admitted anew, under their present route.
func (c *Core) reroute(messages []*message) {
	for _, m := range messages {
		m.service = nil
		c.messages.schedule(m, phaseDeferred, c.now)
	}
}

// submitQueued submits the first message of a queue whose module has all its jobs in flight, and reports whether there was one.
func (c *Core) submitQueued() bool {
	for _, s := range c.backlogged {
		if s.waitingJobs > 0 {
			continue
		}
		m := s.queue.first(c.now)
		c.dequeue(m)
		c.submit(m, s, false)
		return true
	}
	return false
}
