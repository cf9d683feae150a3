package queue

import (
	"container/heap"
	"time"
)

// unownedMessage is a deliverable message that no edge leases.
type unownedMessage struct {
	due uint32 // when it is to be assigned or expires, in milliseconds of the steady clock
	p   *partition
	e   *entry
}

// unownedHeap is a heap whose first element is the message that is due first.
type unownedHeap []unownedMessage

func (h unownedHeap) Len() int { return len(h) }

func (h unownedHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return sequencedBefore(h[i].e, h[j].e)
}

func (h unownedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *unownedHeap) Push(x any) { *h = append(*h, x.(unownedMessage)) }

// Pop implements heap.Interface.
func (h *unownedHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = unownedMessage{}
	*h = (*h)[:last]
	return x
}

// requeueMessage ends a message's lease, if any, and queues the message for assignment once it is due.
func (c *Core) requeueMessage(p *partition, e *entry) {
	c.releaseLease(e)
	if e.delivery.queued || !c.isDeliverable(p, e) {
		return
	}
	e.delivery.queued = true
	due := min(e.delivery.due, e.delivery.expires)
	heap.Push(&c.unowned, unownedMessage{due: due, p: p, e: e})
	if due > c.millis() { // otherwise assignDue, which ends each event, assigns it
		c.wakeAt(time.Duration(due) * time.Millisecond)
	}
}

func (c *Core) popUnowned() {
	top := heap.Pop(&c.unowned).(unownedMessage)
	if top.e.delivery != nil {
		top.e.delivery.queued = false
	}
}

// isUnowned reports whether a queued message still exists, is deliverable, and isn't leased.
func (c *Core) isUnowned(m unownedMessage) bool {
	current, _ := m.p.find(m.e.id)
	return current == m.e && m.e.delivery != nil && m.e.delivery.queued && m.e.delivery.leaseholder == nil && c.isDeliverable(m.p, m.e)
}
