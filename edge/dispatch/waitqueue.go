package dispatch

import (
	"slices"
	"sort"
	"time"
)

// waitQueue holds a service's messages that may run and that its decision module was not handed yet, sorted by when they are to begin. A
// module is handed a message at a time, once all that it has are under way: so the one that does best to go first does, however many wait.
type waitQueue struct{ messages []*message }

func (q *waitQueue) len() int { return len(q.messages) }

func (q *waitQueue) add(m *message) {
	i := sort.Search(len(q.messages), func(i int) bool { return m.beginBy < q.messages[i].beginBy })
	q.messages = slices.Insert(q.messages, i, m)
}

func (q *waitQueue) remove(m *message) {
	for i := q.from(m.beginBy); i < len(q.messages); i++ {
		if q.messages[i] == m {
			q.messages = slices.Delete(q.messages, i, i+1)
			return
		}
	}
}

// from is the index of the first message that is to begin at a time or later.
func (q *waitQueue) from(at time.Duration) int {
	return sort.Search(len(q.messages), func(i int) bool { return at <= q.messages[i].beginBy })
}

// first returns the message that goes next; nil: there is none. The oldest of those that can still begin within their aim is first.
// Then comes the newest: whatever goes first, the same number misses its aim, but a key whose messages have all run has the next one in
// time again, and with the oldest first all keys would be late until the last of the backlog has run.
func (q *waitQueue) first(now time.Duration) *message {
	if len(q.messages) == 0 {
		return nil
	}
	return q.messages[min(q.from(now), len(q.messages)-1)]
}

// enqueue has a message wait until its service's module can be handed another.
func (c *Core) enqueue(m *message, s *service) {
	m.service = s
	if s.queue.len() == 0 {
		c.queues = append(c.queues, s)
	}
	s.queue.add(m)
	c.schedule(m, queued, m.expires)
}

// dequeue takes a message out of its service's queue.
func (c *Core) dequeue(m *message) {
	m.service.queue.remove(m)
	c.forgetEmpty()
}

// forgetEmpty keeps the list of the services with messages in their queues.
func (c *Core) forgetEmpty() {
	c.queues = slices.DeleteFunc(c.queues, func(s *service) bool { return s.queue.len() == 0 })
}

// lookAnew has messages that waited for a service look for their route and what they wait for.
func (c *Core) lookAnew(messages []*message) {
	for _, m := range messages {
		m.service = nil
		c.schedule(m, waiting, c.now)
	}
}

// handQueued hands a module the first message of its queue, if all that the module has are under way, and says whether one was handed.
func (c *Core) handQueued() bool {
	for _, s := range c.queues {
		if s.held > 0 {
			continue
		}
		m := s.queue.first(c.now)
		c.dequeue(m)
		c.handOver(m, s, false)
		return true
	}
	return false
}
