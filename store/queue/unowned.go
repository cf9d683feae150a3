package queue

import (
	"container/heap"
	"time"
)

// unownedMessage is a deliverable message that no edge leases.
type unownedMessage struct {
	due uint32 // milliseconds of the steady clock
	p   *partition
	e   *entry
}

// unownedHeap has the message that is due first on top.
type unownedHeap []unownedMessage

func (h unownedHeap) Len() int { return len(h) }

func (h unownedHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return before(h[i].e, h[j].e)
}

func (h unownedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *unownedHeap) Push(x any) { *h = append(*h, x.(unownedMessage)) }

// Pop is part of heap.Interface.
func (h *unownedHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = unownedMessage{}
	*h = (*h)[:last]
	return x
}

// requeueMessage ends a message's lease, if any, and has it assigned to an edge once it is due.
func (c *Core) requeueMessage(p *partition, e *entry) {
	c.releaseLease(e)
	if e.delivery.queued || !c.isDeliverable(p, e) {
		return
	}
	e.delivery.queued = true
	due := min(e.delivery.due, e.delivery.expires)
	heap.Push(&c.unowned, unownedMessage{due: due, p: p, e: e})
	if due > c.millis() { // else the event ends with assignDue
		c.wakeAt(time.Duration(due) * time.Millisecond)
	}
}

func (c *Core) popUnowned() {
	top := heap.Pop(&c.unowned).(unownedMessage)
	if top.e.delivery != nil {
		top.e.delivery.queued = false
	}
}

// isUnowned says whether a message is still there, deliverable, and leased to no edge.
func (c *Core) isUnowned(o unownedMessage) bool {
	current, _ := o.p.find(o.e.id)
	return current == o.e && o.e.delivery != nil && o.e.delivery.queued && o.e.delivery.leaseholder == nil && c.isDeliverable(o.p, o.e)
}
