package queue

import (
	"container/heap"
	"time"

	"ravendale/cluster/wire"
)

// orphanEntry is a message that some edge is to be found for.
type orphanEntry struct {
	due uint32 // milliseconds of the steady clock
	p   *partition
	e   *entry
}

// orphanHeap has the message that is due first on top.
type orphanHeap []orphanEntry

func (h orphanHeap) Len() int { return len(h) }
func (h orphanHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return before(h[i].e, h[j].e)
}
func (h orphanHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *orphanHeap) Push(x any) { *h = append(*h, x.(orphanEntry)) }

// Pop is part of heap.Interface.
func (h *orphanHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = orphanEntry{}
	*h = (*h)[:last]
	return x
}

// orphan takes a message from its holder, if any, and has it handed to another once it is due.
func (c *Core) orphan(p *partition, e *entry) {
	c.unlease(e)
	if e.live.waiting || !c.mayRun(p, e) {
		return
	}
	e.live.waiting = true
	due := min(e.live.due, e.live.expires)
	heap.Push(&c.orphans, orphanEntry{due: due, p: p, e: e})
	if due > c.millis() { // else the event ends with a hand-over
		c.wakeAt(time.Duration(due) * time.Millisecond)
	}
}

// handOver gives orphans that are due to edges.
func (c *Core) handOver() {
	for len(c.orphans) > 0 && c.orphans[0].due <= c.millis() {
		top := c.orphans[0]
		if !c.isOrphan(top) {
			c.popOrphan()
			continue
		}
		if top.e.live.expires <= c.millis() {
			c.popOrphan()
			c.end(top.p, top.e, wire.StateDead, "", nil)
			continue
		}
		to, owner := c.target(top.e)
		if owner != nil {
			heap.Pop(&c.orphans)
			owner.waiting = append(owner.waiting, top)
			continue
		}
		if to == nil {
			return
		}
		if !c.isConfirmed(top.p) {
			heap.Pop(&c.orphans)
			top.p.parked = append(top.p.parked, top)
			c.askMembers(top.p)
			continue
		}
		c.popOrphan()
		c.give(top.p, top.e, to)
	}
}

func (c *Core) isConfirmed(p *partition) bool {
	return len(p.members) == 0 || c.now.Steady < p.confirmed+confirmedFor
}

func (c *Core) popOrphan() {
	top := heap.Pop(&c.orphans).(orphanEntry)
	if top.e.live != nil {
		top.e.live.waiting = false
	}
}

// isOrphan says whether a message is still there and without a holder.
func (c *Core) isOrphan(o orphanEntry) bool {
	current, _ := o.p.find(o.e.id)
	return current == o.e && o.e.live != nil && o.e.live.waiting && o.e.live.holder == nil && c.mayRun(o.p, o.e)
}

// target picks who is given an orphan: its owner, who may have ended it already and then says so, as long as it lives. If it can't be given
// anything now the message waits for it.
func (c *Core) target(e *entry) (to, waitsFor *edge) {
	owner := c.edges[e.live.owner]
	switch {
	case owner == nil || e.live.returned:
		return c.choose(e.live.owner), nil
	case c.takes(owner):
		return owner, nil
	}
	return nil, owner
}

// takes says whether an edge can be given a message whole.
func (c *Core) takes(e *edge) bool {
	return e.remote != nil && e.claimed == c.epoch() && e.given < maxHandedOver
}

// unqueue puts the messages that wait for an edge back among the orphans.
func (c *Core) unqueue(e *edge) {
	waiting := e.waiting
	e.waiting = nil
	for _, o := range waiting {
		heap.Push(&c.orphans, o)
	}
}

// choose picks the edge with the least to do that may be given a message, preferably of the own zone, and rather not the one
// that has given it back.
func (c *Core) choose(back string) *edge {
	var best *edge
	least := 0
	for _, e := range c.edgeList {
		if e.draining || !c.takes(e) {
			continue
		}
		load := c.load(e)
		if e.id == back {
			load += maxHandedOver
		}
		if best == nil || load < least || load == least && e.turn < best.turn {
			best, least = e, load
		}
	}
	return best
}

func (c *Core) load(e *edge) int {
	if e.zone != c.config.Zone {
		return e.given + otherZone
	}
	return e.given
}

// give hands a message to an edge, once all members know whose it is.
func (c *Core) give(p *partition, e *entry, to *edge) {
	c.lease(e, to)
	e.live.whole = true
	e.live.granted = true
	e.live.returned = false
	e.live.owed = true
	to.given++
	c.round++
	to.turn = c.round
	c.own(p, e, to)
	c.remindLater(p, e)
	if e.live.last == nil {
		c.grantWhole(p, e)
	}
}

func (c *Core) grantWhole(p *partition, e *entry) {
	e.live.owed = false
	to := e.live.holder
	if to.remote == nil {
		return // it is taken back, if it does not come and claim it
	}
	message, err := c.message(p, e)
	if err != nil {
		c.host.Fail(err)
		return
	}
	_ = to.remote.Notify(wire.MethodGrant, &wire.Grant{
		Partition: p.number, Epoch: c.epoch(), ID: e.id, Failed: e.failed, HasMessage: true, Message: *message,
	})
}
