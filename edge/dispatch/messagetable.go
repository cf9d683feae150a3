package dispatch

import (
	"container/heap"
	"maps"
	"slices"
	"strings"
	"time"
)

// messageTable holds the leased messages, and orders them by when they are due.
type messageTable struct {
	byID  map[string]*message
	due   dueHeap
	bytes int // of memory used by the messages
}

// add adds a message without scheduling it.
func (t *messageTable) add(m *message) {
	m.heapIndex = -1
	m.size = len(m.Body) + messageOverhead
	t.bytes += m.size
	t.byID[m.ID] = m
}

// dropBody frees a message's body, and counts the message as using no memory.
func (t *messageTable) dropBody(m *message) {
	t.bytes -= m.size
	m.size = 0
	m.Body = nil
}

// sorted returns the messages in the order of their IDs, so that equal events have equal results.
func (t *messageTable) sorted() []*message {
	return slices.SortedFunc(maps.Values(t.byID), func(a, b *message) int { return strings.Compare(a.ID, b.ID) })
}

// remove removes a message.
func (t *messageTable) remove(m *message) {
	t.unschedule(m)
	t.bytes -= m.size
	delete(t.byID, m.ID)
}

// schedule puts a message into a phase, and schedules the call of Core.processDue for it.
func (t *messageTable) schedule(m *message, p phase, due time.Duration) {
	m.phase, m.dueAt = p, due
	if m.heapIndex < 0 {
		heap.Push(&t.due, m)
	} else {
		heap.Fix(&t.due, m.heapIndex)
	}
}

// unschedule cancels the call of Core.processDue for a message.
func (t *messageTable) unschedule(m *message) {
	if m.heapIndex >= 0 {
		heap.Remove(&t.due, m.heapIndex)
	}
}

// nextDue returns the message that is due first, or nil if none is scheduled.
func (t *messageTable) nextDue() *message {
	if len(t.due) == 0 {
		return nil
	}
	return t.due[0]
}

// dueHeap is a heap of messages, ordered by when they are due.
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
