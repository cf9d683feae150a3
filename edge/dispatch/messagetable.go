package dispatch

import (
	"container/heap"
	"time"
)

// messageTable has the leased messages, and when each is due.
type messageTable struct {
	byID  map[string]*message
	due   dueHeap
	bytes int // of memory that they take
}

// add adds a message, without a time.
func (t *messageTable) add(m *message) {
	m.heapIndex = -1
	m.size = len(m.Body) + messageOverhead
	t.bytes += m.size
	t.byID[m.ID] = m
}

// dropBody frees a message's body, and counts it as taking no memory.
func (t *messageTable) dropBody(m *message) {
	t.bytes -= m.size
	m.size = 0
	m.Body = nil
}

// remove removes a message.
func (t *messageTable) remove(m *message) {
	t.unschedule(m)
	t.bytes -= m.size
	delete(t.byID, m.ID)
}

// schedule puts a message into a phase, and has Core.processDue called for it at a time.
func (t *messageTable) schedule(m *message, p phase, due time.Duration) {
	m.phase, m.dueAt = p, due
	if m.heapIndex < 0 {
		heap.Push(&t.due, m)
	} else {
		heap.Fix(&t.due, m.heapIndex)
	}
}

// unschedule has Core.processDue not called for a message any more.
func (t *messageTable) unschedule(m *message) {
	if m.heapIndex >= 0 {
		heap.Remove(&t.due, m.heapIndex)
	}
}

// first returns the message that is due first; nil: none is scheduled.
func (t *messageTable) first() *message {
	if len(t.due) == 0 {
		return nil
	}
	return t.due[0]
}

// dueHeap orders messages by when they are due.
type dueHeap []*message

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	m := x.(*message)
	m.heapIndex = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	m.heapIndex = -1
	return m
}
